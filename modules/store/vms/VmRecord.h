#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// State of a VM in the platform's list. The list may be outdated: a VM listed as Live may no longer exist.
enum class VmState {
    Live,
    Leaving,
};

template <> struct EnumNames<VmState> {
    static constexpr std::array<std::pair<VmState, std::string_view>, 2> table { {
        { VmState::Live, "live" },
        { VmState::Leaving, "leaving" },
    } };
};

/// One entry of the platform's list of VMs.
struct VmRecord {
    VmId id;
    std::string address;
    std::uint16_t port = 0;
    ZoneId zone;
    RackId rack;
    VmState state = VmState::Live;
};

} // namespace Greengage
