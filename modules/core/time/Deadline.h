#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// The instant from which an action is no longer allowed, or a piece of information no longer valid.
class Deadline {
public:
    /// A deadline that has always passed.
    constexpr Deadline() = default;

    explicit constexpr Deadline(Instant instant)
        : instant(instant)
    {
    }

    static constexpr Deadline after(Instant now, Microseconds span) { return Deadline(now + span); }
    static constexpr Deadline never() { return Deadline(Instant::max()); }

    constexpr bool hasPassed(Instant now) const { return now >= this->instant; }
    constexpr Instant at() const { return this->instant; }

    /// Returns the time left until the deadline, or zero if it has passed.
    constexpr Microseconds remaining(Instant now) const
    {
        if (this->hasPassed(now))
            return Microseconds::zero();
        return this->instant - now;
    }

    friend constexpr auto operator<=>(const Deadline&, const Deadline&) = default;

private:
    Instant instant { Instant::min() };
};

} // namespace Greengage
