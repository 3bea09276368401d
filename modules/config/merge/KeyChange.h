#pragma once

#include <optional>
#include <string>

namespace Greengage {

/// A key of a section whose value differs between two texts.
struct KeyChange {
    std::string key;
    /// Nothing if the key was added.
    std::optional<std::string> before;
    /// Nothing if the key was removed.
    std::optional<std::string> after;
};

} // namespace Greengage
