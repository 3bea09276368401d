#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// Who places tasks, as it is stored.
struct HolderRecord {
    /// Empty if the last holder has handed the part back.
    DaemonId daemon;
    IncarnationId incarnation;
    /// Rises by one with each holder.
    std::uint32_t epoch = 0;

    std::string encode() const;

    /// Nothing if the text was not written by `encode`.
    static std::optional<HolderRecord> decode(std::string_view text);
};

} // namespace Greengage
