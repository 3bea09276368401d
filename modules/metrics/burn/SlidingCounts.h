#pragma once

#include <core/time/Deadline.h>
#include <metrics/burn/RequestCounts.h>

#include <array>

namespace Greengage {

/// Counts over a sliding window, in slots of a thirtieth of its length. A slot is dropped once it lies wholly outside
/// the window, so the counts span between one window and one window and a thirtieth.
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
