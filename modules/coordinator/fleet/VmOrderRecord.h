#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Greengage {

/// The stored list of VMs to which a leader may have sent orders lately.
struct VmOrderRecord {
    /// The epoch of the leader that wrote the list.
    std::uint32_t epoch = 0;
    std::set<VmId> vms;

    std::string encode() const;

    /// Nothing if the text was not written by `encode`.
    static std::optional<VmOrderRecord> decode(std::string_view text);
};

} // namespace Greengage
