#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// How far maintenance has come with one VM. In every phase the VM gets no new work.
enum class MaintenancePhase {
    /// Its work is running out. It can still be put back.
    Draining,
    /// It was seen drained and the platform is to reboot it.
    Rebooting,
    /// It was seen drained and the document is to name it in its new pool.
    Moving,
    /// It is to answer again before it gets work.
    Joining,
};

template <> struct EnumNames<MaintenancePhase> {
    static constexpr std::array<std::pair<MaintenancePhase, std::string_view>, 4> table { {
        { MaintenancePhase::Draining, "draining" },
        { MaintenancePhase::Rebooting, "rebooting" },
        { MaintenancePhase::Moving, "moving" },
        { MaintenancePhase::Joining, "joining" },
    } };
};

} // namespace Greengage
