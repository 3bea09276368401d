#include <metrics/burn/SlidingCounts.h>

namespace Greengage {

SlidingCounts::SlidingCounts(Microseconds windowLength)
    : slotLength(windowLength / (slotCount - 1))
{
}

void SlidingCounts::record(Instant now, bool good)
{
    auto slotNumber = now.time_since_epoch() / this->slotLength;
    auto& slot = this->slots[static_cast<std::size_t>(slotNumber) % slotCount];
    Deadline expiry(Instant(this->slotLength * (slotNumber + static_cast<long>(slotCount))));
    if (slot.expiry != expiry)
        slot = Slot { expiry, {} };
    slot.counts.total += 1;
    slot.counts.good += good ? 1 : 0;
}

RequestCounts SlidingCounts::counts(Instant now) const
{
    RequestCounts sum;
    for (const auto& slot : this->slots) {
        if (!slot.expiry.hasPassed(now))
            sum += slot.counts;
    }
    return sum;
}

} // namespace Greengage
