#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// In-memory replacement for the stored value that holds the allotments.
class FakeAllotmentStore {
public:
    /// Compare-and-swap; false if the version differs.
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
    /// Number of attempted writes, whether or not they succeeded.
    int calls = 0;
    bool down = false;
};

} // namespace Greengage
