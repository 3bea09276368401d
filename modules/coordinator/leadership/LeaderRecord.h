#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// The stored identity of the leader.
struct LeaderRecord {
    /// Empty if the last leader has resigned.
    DaemonId daemon;
    IncarnationId incarnation;
    /// Rises by one with each leader.
    std::uint32_t epoch = 0;

    std::string encode() const;

    /// Nothing if the text was not written by `encode`.
    static std::optional<LeaderRecord> decode(std::string_view text);
};

} // namespace Greengage
