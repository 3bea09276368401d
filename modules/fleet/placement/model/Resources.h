#pragma once

namespace Greengage {

/// An amount of what workers have and tasks need.
struct Resources {
    double processors = 0;
    double memoryGigabytes = 0;
    double accelerators = 0;

    bool operator==(const Resources&) const = default;

    /// Whether this amount can be taken out of another. Sums of fractions may be off by a tiny amount.
    bool fitsWithin(const Resources& other) const;
    Resources operator+(const Resources& other) const;
    Resources operator-(const Resources& other) const;
    /// Each kind multiplied by its own factor.
    Resources scaledBy(const Resources& factors) const;
    Resources max(const Resources& other) const;
    /// The largest of the shares that this amount has of another, over all kinds that the other has.
    double dominantShareOf(const Resources& total) const;
};

} // namespace Greengage
