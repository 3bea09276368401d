#pragma once

#include <core/text/Identifier.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Greengage {

/// How far a wave has come, as it is stored.
struct WaveRecord {
    std::set<VmId> done;
    bool isCompleted = false;

    std::string encode() const;

    /// Nothing if the text was not written by `encode`.
    static std::optional<WaveRecord> decode(std::string_view text);
};

} // namespace Greengage
