#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>
#include <core/time/Deadline.h>
#include <jobs/model/ResourceAmount.h>
#include <jobs/model/TaskName.h>

#include <cstdint>
#include <string>

namespace Greengage {

enum class AttemptPhase {
    /// Planned but not yet stored, so no order has been sent.
    Planned,
    /// The write that stores the attempt is in progress.
    Recording,
    /// The start order has been sent and its answer is pending.
    Ordered,
    /// The start order got no answer. The worker may have carried it out, or may still do so until it expires.
    Unanswered,
    Running,
    /// The worker has to stop the attempt.
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

/// One run of one task on one worker, from the planning of its start until its end is known.
struct Attempt {
    TaskName task;
    std::uint32_t run = 0;
    AttemptPhase phase = AttemptPhase::Planned;
    TeamId team;
    /// The part of the worker's capacity that the attempt occupies.
    ResourceAmount occupied;
    /// The resources that count against the team's maximum.
    ResourceAmount charged;
    Instant orderedAt;
    /// When the start order was last sent, by this leader or, as far as it has told, by an earlier one.
    Instant lastSentAt;
    /// How often the start order has been sent, how many of these calls have ended, with an answer or without, and how
    /// many copies cannot be carried out any more: they were refused, not sent, or accepted by the known incarnation.
    int startOrdersSent = 0;
    int startOrdersEnded = 0;
    int startOrdersClosed = 0;
    /// When the start order is sent again unless it is answered.
    Deadline nextStartOrder;
    /// The time from which the worker refuses the start order as too late.
    Deadline orderExpires;
    /// The same time on the worker's clock, in milliseconds.
    std::int64_t orderValidUntilClockMs = 0;
    /// When the attempt was last known to run. Reports that answer an earlier request say nothing about it.
    Instant confirmedAt;
    /// Whether this leader or an earlier one may have sent a start order.
    bool mayHaveBeenSent() const
    {
        return this->phase != AttemptPhase::Planned && this->phase != AttemptPhase::Recording;
    }

    /// Whether the worker is known to have carried out the start order.
    bool isAnswered = false;
    /// Whether the worker's current incarnation is known to have carried out the start order: one of its reports has
    /// listed the attempt, or its clock shows that it answered the order.
    bool isListed = false;
    /// Whether an earlier leader knew this of the incarnation that it knew, after the only start order. Which one that
    /// was is not known.
    bool wasListed = false;
    /// The worker has started again since the start order was sent. The new incarnation may run the attempt, or start
    /// it late, until it has accepted an order to stop it.
    bool wasOrderedBeforeRestart = false;

    /// Whether an incarnation of the worker, not certainly the current one, has accepted the start order.
    bool isAccepted = false;

    /// Whether it is known when the start order was last sent.
    bool isSendTimeKnown() const { return this->lastSentAt != Instant(); }

    /// Whether no copy of the start order is under way if the attempt has been carried out: there was only one, or each
    /// of them is closed.
    bool hasNoOpenCopy() const
    {
        return this->startOrdersSent == 1
            || (this->startOrdersSent > 1 && this->startOrdersClosed == this->startOrdersSent);
    }

    /// Whether the start order was carried out and no copy of it is under way.
    bool isSettled() const { return this->hasNoOpenCopy() && (this->isAccepted || this->isListed); }

    /// Whether the attempt has certainly ended if the worker's incarnation has: no start order was sent, or that
    /// incarnation carried it out and no copy is under way.
    bool endsWithIncarnation() const { return !this->mayHaveBeenSent() || (this->hasNoOpenCopy() && this->isListed); }

    /// Whether the attempt has certainly ended if the lease has that orders to the known incarnations can have given:
    /// no other one can run it.
    bool endsWithKnownLease() const
    {
        return !this->mayHaveBeenSent() || (this->hasNoOpenCopy() && (this->isListed || this->wasListed));
    }

    /// Whether the attempt has certainly ended if the worker has ended with its VM, whichever incarnation carried the
    /// order out.
    bool endsWithVm() const { return !this->mayHaveBeenSent() || this->isSettled(); }

    /// Whether only a report of the worker's new incarnation, or an accepted order to stop, can tell what became of the
    /// attempt.
    bool isInDoubt() const { return this->wasOrderedBeforeRestart && !this->isListed; }

    bool isBestEffort = false;
    /// Target for the tail of the response times; zero if the attempt is not latency-sensitive.
    Milliseconds tailTarget { 0 };
    bool isLatencySensitive() const { return this->tailTarget.count() > 0; }

    bool isLongRunning = false;
    /// A stop order has been sent and its answer is pending.
    bool isStopOrderPending = false;
    /// The earliest time of the next stop order.
    Deadline nextStopOrder;
    std::string checkpoint;
    /// Sent with the start order if tasks of the queue need a ticket.
    std::string ticket;
    /// The speed that the worker last reported, in percent of full speed.
    int speedPercent = 100;
    /// The speed that the attempt should have, in percent of full speed.
    int wantedSpeedPercent = 100;
    /// The earliest time of the next change of `wantedSpeedPercent`, unless a latency-sensitive task exceeds its
    /// target.
    Deadline nextSpeedChange;
    /// An order to change the speed has been sent and its answer is pending.
    bool isSpeedOrderPending = false;
    /// Whether a long-running task has finished starting and is not throttled, by the latest report.
    bool isAtFullSpeed = false;
    std::int64_t load = 0;
};

} // namespace Greengage
