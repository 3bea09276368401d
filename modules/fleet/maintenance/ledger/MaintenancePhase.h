#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// The stage of maintenance of one VM. In every phase the VM receives no new work.
enum class MaintenancePhase {
    /// Its running work is finishing. The drain can still be cancelled.
    Draining,
    /// It is drained and waits for the platform to reboot it.
    Rebooting,
    /// It is drained and waits for the document to list it in its new pool.
    Moving,
    /// It must answer a poll again before it receives work.
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
