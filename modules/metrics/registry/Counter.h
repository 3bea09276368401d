#pragma once

#include <cstdint>

namespace Greengage {

/// A monotonically increasing count.
class Counter {
public:
    void add(std::uint64_t amount = 1) { this->total += amount; }
    std::uint64_t value() const { return this->total; }

private:
    std::uint64_t total = 0;
};

} // namespace Greengage
