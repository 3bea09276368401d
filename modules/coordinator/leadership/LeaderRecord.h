#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>

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
    /// How long leaders before this one may send orders after this record was written, at most. Earlier versions do not
    /// store it.
    std::optional<Milliseconds> earlierOrdersFor = std::nullopt;
    /// Orders of earlier leaders that may still have an effect, as `OpenOrdersCodec` encodes them. Empty if an
    /// earlier version wrote the record.
    std::string openOrders = {};

    std::string encode() const;

    /// Nothing if the text was not written by `encode`.
    static std::optional<LeaderRecord> decode(std::string_view text);
};

} // namespace Greengage
