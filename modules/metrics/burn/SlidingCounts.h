#pragma once

#include <core/time/Deadline.h>
#include <metrics/burn/RequestCounts.h>

#include <array>

namespace Greengage {

/// Counts requests over a sliding window, which is divided into slots of a thirtieth of its length. A slot expires once
/// all of it lies outside the window, so the counts cover between 1 and 1 + 1/30 window lengths.
class SlidingCounts {
public:
    explicit SlidingCounts(Microseconds windowLength);

    void record(Instant now, bool good);
    RequestCounts counts(Instant now) const;

private:
    static constexpr std::size_t slotCount = 31;

    struct Slot {
        Deadline expiry;
        RequestCounts counts;
    };

    Microseconds slotLength;
    std::array<Slot, slotCount> slots {};
};

} // namespace Greengage
