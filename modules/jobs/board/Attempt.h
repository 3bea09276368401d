#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <jobs/model/Demand.h>
#include <jobs/model/TaskName.h>

#include <cstdint>
#include <string>

namespace Greengage {

enum class AttemptPhase {
    /// Decided, but not stored yet, so that no order has been sent.
    Planned,
    /// The write that stores it is under way.
    Recording,
    /// The order to start is under way.
    Ordered,
    /// The order got no answer; it may have been carried out, or may be until it expires.
    Unanswered,
    Running,
    /// The worker is to stop it.
    Stopping,
};

template <> struct EnumNames<AttemptPhase> {
    static constexpr std::array<std::pair<AttemptPhase, std::string_view>, 6> table { {
        { AttemptPhase::Planned, "planned" },
        { AttemptPhase::Recording, "recording" },
        { AttemptPhase::Ordered, "ordered" },
        { AttemptPhase::Unanswered, "unanswered" },
        { AttemptPhase::Running, "running" },
        { AttemptPhase::Stopping, "stopping" },
    } };
};

/// One start of one task on one worker, from the order until its end is known.
struct Attempt {
    TaskName task;
    std::uint32_t run = 0;
    AttemptPhase phase = AttemptPhase::Planned;
    TeamId team;
    /// What the attempt takes of the worker's room.
    Demand occupies;
    /// What counts against the team's maximum.
    Demand charged;
    Instant orderedAt;
    /// From then on the worker refuses the order as too late.
    Deadline orderExpires;
    /// When it was last known to run; reports sent earlier say nothing about it.
    Instant confirmedAt;
    /// Whether an order to start may have left this process or an earlier holder's.
    bool mayBeSent() const { return this->phase != AttemptPhase::Planned && this->phase != AttemptPhase::Recording; }

    /// The worker is known to have carried the order out.
    bool isAnswered = false;
    bool fills = false;
    /// The response time that it must keep; zero if it serves none.
    Milliseconds tailTarget { 0 };
    bool serves() const { return this->tailTarget.count() > 0; }

    bool lasts = false;
    /// A stop order is under way.
    bool stopUnderWay = false;
    /// Not before then is a stop ordered again.
    Deadline nextStop;
    std::string checkpoint;
    /// Goes with the order to start, if the queue's tasks need one.
    std::string ticket;
    /// The share of its speed at which it works, in percent, by the latest report, and the one that it should have.
    int pacePercent = 100;
    int wantedPace = 100;
    /// Not before then is its pace changed again, unless a serving task is over its target.
    Deadline paceSettled;
    /// An order to change its pace is under way.
    bool paceUnderWay = false;
    /// A lasting task is past its start and not paced down, by the latest report.
    bool isAtWork = false;
    std::int64_t load = 0;
};

} // namespace Greengage
