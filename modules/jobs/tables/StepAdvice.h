#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Greengage {

/// Permission to start tasks of one step on one worker.
struct Ticket {
    std::string text;
    /// The incarnation of the worker for which the ticket was issued.
    std::int64_t incarnationUnixMs = 0;
    Deadline validUntil;
};

/// The answers of the advice service for one step. Whether a worker may run a step does not change.
struct StepAdvice {
    std::map<WorkerId, Ticket> tickets;
    std::set<WorkerId> unfit;
    bool isRequestPending = false;
    /// The earliest time of the next request for this step.
    Deadline nextRequest;

    /// Returns the ticket for this incarnation of the worker if it is still valid, otherwise null.
    const Ticket* ticketFor(const WorkerId& worker, std::int64_t incarnationUnixMs, Instant now) const
    {
        auto found = this->tickets.find(worker);
        bool isValid = found != this->tickets.end() && found->second.incarnationUnixMs == incarnationUnixMs
            && !found->second.validUntil.hasPassed(now);
        return isValid ? &found->second : nullptr;
    }
};

} // namespace Greengage
