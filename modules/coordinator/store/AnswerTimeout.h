#pragma once

#include <core/time/Instant.h>

#include <algorithm>

namespace Greengage {

/// Chooses how long to wait for the store's next answer. A lost answer has to be noticed early, while a store that has
/// become slow has to be given its time. Like the retransmission timeout of TCP, the limit follows the duration of
/// answered calls and doubles with each unanswered one until the next answer.
class AnswerTimeout {
public:
    /// Bounds of the limit.
    static constexpr Milliseconds shortest { 150 };
    static constexpr Milliseconds longest { 1000 };
    /// Bounds what a watch may exceed its wait by.
    static constexpr Milliseconds longestOverrun { 1200 };

    /// The time limit for the next answer, counted from when the store should give it.
    Milliseconds limit() const;

    /// The time limit for a watch that waits this long. Daemons renew their watches together, so an answer may take
    /// longer than usual. The overrun is bounded, since a store that is back is asked again only after it.
    Milliseconds watchLimit(Milliseconds wait) const { return wait + std::min(longestOverrun, this->limit() * 2); }

    /// Records a call that was answered after `duration`.
    void recordAnswer(Microseconds duration);

    /// Records a call that got no answer within its limit.
    void recordSilence();

private:
    /// The limit is this many times the average duration.
    static constexpr int limitFactor = 8;
    /// The newest answer counts 1/averageDivisor in the moving average of the duration.
    static constexpr int averageDivisor = 4;
    /// From this many doublings on, the limit is the longest.
    static constexpr int maxDoublings = 3;

    Milliseconds limitFor(Microseconds duration) const;

    Microseconds averageDuration { 0 };
    int doublings = 0;
};

} // namespace Greengage
