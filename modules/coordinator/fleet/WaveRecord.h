#pragma once

#include <core/text/Identifier.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Greengage {

/// The stored progress of a maintenance wave.
struct WaveRecord {
    /// VMs whose maintenance has begun.
    std::set<VmId> done;
    bool isCompleted = false;

    std::string encode() const;

    /// Nothing if the text was not written by `encode`.
    static std::optional<WaveRecord> decode(std::string_view text);
};

} // namespace Greengage
