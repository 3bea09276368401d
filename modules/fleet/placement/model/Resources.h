#pragma once

namespace Greengage {

/// An amount of the resources that workers provide and tasks need.
struct Resources {
    double processors = 0;
    double memoryGigabytes = 0;
    double accelerators = 0;

    bool operator==(const Resources&) const = default;

    /// Whether this amount does not exceed another. Tolerates the rounding errors of sums of fractions.
    bool fitsWithin(const Resources& other) const;
    Resources operator+(const Resources& other) const;
    Resources operator-(const Resources& other) const;
    /// Each kind of resource multiplied by its own factor.
    Resources scaledBy(const Resources& factors) const;
    Resources max(const Resources& other) const;
    /// The largest of this amount's shares of the total, over all kinds of resource that the total contains.
    double dominantShareOf(const Resources& total) const;
};

} // namespace Greengage
