#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Greengage {

/// Lets tasks of one step start on one worker.
struct Ticket {
    std::string text;
    /// The life of the worker for which it was given.
    std::int64_t bornUnixMs = 0;
    Deadline validUntil;
};

/// What the advice service has said about the workers for one step. Which workers may run a step does not change.
struct StepAdvice {
    std::map<WorkerId, Ticket> tickets;
    std::set<WorkerId> unfit;
    bool isBeingAsked = false;
    /// Not before then is it asked again.
    Deadline nextQuestion;

    /// The ticket for that life of the worker if it still lets a task start; null otherwise.
    const Ticket* ticketFor(const WorkerId& worker, std::int64_t bornUnixMs, Instant now) const
    {
        auto found = this->tickets.find(worker);
        bool isValid = found != this->tickets.end() && found->second.bornUnixMs == bornUnixMs
            && !found->second.validUntil.hasPassed(now);
        return isValid ? &found->second : nullptr;
    }
};

} // namespace Greengage
