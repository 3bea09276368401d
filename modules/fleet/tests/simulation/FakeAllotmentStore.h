#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// The one value of the platform's store that holds the allotments.
class FakeAllotmentStore {
public:
    /// Compare-and-swap; false if the version was another.
    bool write(std::uint64_t expectedVersion, const std::string& newValue)
    {
        if (expectedVersion != this->version)
            return false;
        this->version += 1;
        this->value = newValue;
        return true;
    }

    std::uint64_t version = 0;
    std::string value;
    /// Calls that asked for a write, whether or not it succeeded.
    int calls = 0;
    bool down = false;
};

} // namespace Greengage
