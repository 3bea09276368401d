#pragma once

#include <config/settings/AdminSettings.h>
#include <config/settings/CallerSettings.h>
#include <config/settings/MeshSettings.h>
#include <config/settings/SocketAddress.h>
#include <core/log/Log.h>
#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// The settings that a daemon reads from its settings file at startup. They do not change until it restarts.
struct DaemonSettings {
    DaemonId name;
    /// Availability zone of the VM that the daemon runs on.
    ZoneId zone;
    /// Address on which all servers of the daemon listen and from which it opens its connections.
    std::string address;
    LogLevel logLevel = LogLevel::Info;
    CallerSettings callers;
    AdminSettings admin;
    MeshSettings mesh;
    /// Address of the platform's key-value service.
    SocketAddress store;
};

} // namespace Greengage
