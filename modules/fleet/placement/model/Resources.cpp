#include <fleet/placement/model/Resources.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr double roundingSlack = 1e-6;

double shareOf(double part, double whole) { return whole > 0 ? part / whole : 0; }

} // namespace

bool Resources::fitsWithin(const Resources& other) const
{
    return this->processors <= other.processors + roundingSlack
        && this->memoryGigabytes <= other.memoryGigabytes + roundingSlack
        && this->accelerators <= other.accelerators + roundingSlack;
}

Resources Resources::operator+(const Resources& other) const
{
    return { this->processors + other.processors, this->memoryGigabytes + other.memoryGigabytes,
        this->accelerators + other.accelerators };
}

Resources Resources::operator-(const Resources& other) const
{
    return { this->processors - other.processors, this->memoryGigabytes - other.memoryGigabytes,
        this->accelerators - other.accelerators };
}

Resources Resources::scaledBy(const Resources& factors) const
{
    return { this->processors * factors.processors, this->memoryGigabytes * factors.memoryGigabytes,
        this->accelerators * factors.accelerators };
}

Resources Resources::max(const Resources& other) const
{
    return { std::max(this->processors, other.processors), std::max(this->memoryGigabytes, other.memoryGigabytes),
        std::max(this->accelerators, other.accelerators) };
}

double Resources::dominantShareOf(const Resources& total) const
{
    return std::max({ shareOf(this->processors, total.processors),
        shareOf(this->memoryGigabytes, total.memoryGigabytes), shareOf(this->accelerators, total.accelerators) });
}

} // namespace Greengage
