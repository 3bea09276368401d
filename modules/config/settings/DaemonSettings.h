#pragma once

#include <config/settings/AdminSettings.h>
#include <config/settings/CallerSettings.h>
#include <config/settings/MeshSettings.h>
#include <config/settings/SocketAddress.h>
#include <core/log/Log.h>
#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// What a daemon learns at start from its settings file. It stays as it is until the daemon is started anew.
struct DaemonSettings {
    DaemonId name;
    /// Availability zone that the daemon's VM stands in.
    ZoneId zone;
    /// Address that every server of the daemon listens on and every connection of it comes from.
    std::string address;
    LogLevel logLevel = LogLevel::Info;
    CallerSettings callers;
    AdminSettings admin;
    MeshSettings mesh;
    /// The platform's key-value service.
    SocketAddress store;
};

} // namespace Greengage
