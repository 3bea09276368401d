#pragma once

#include <cstdint>

namespace Greengage {

/// A range of ports that no other test on this machine uses while the object exists.
class PortBlock {
public:
    static constexpr std::uint16_t size = 20;

    PortBlock();
    ~PortBlock();

    PortBlock(const PortBlock&) = delete;
    PortBlock& operator=(const PortBlock&) = delete;

    std::uint16_t port(int offset) const { return static_cast<std::uint16_t>(this->first + offset); }

private:
    std::uint16_t first = 0;
    /// A socket bound to the last port of the range, which marks the range as in use.
    int markerSocket = -1;
};

} // namespace Greengage
