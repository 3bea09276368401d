#pragma once

#include <optional>
#include <string>

namespace Greengage {

/// A key whose value differs between two versions of a section.
struct KeyChange {
    std::string key;
    /// Old value; nullopt if the key was added.
    std::optional<std::string> before;
    /// New value; nullopt if the key was removed.
    std::optional<std::string> after;
};

} // namespace Greengage
