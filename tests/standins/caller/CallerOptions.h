#pragma once

#include <core/time/Instant.h>
#include <standins/caller/CallerLoad.h>
#include <standins/caller/DaemonAddress.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// The options of one run of the caller stand-in.
struct CallerOptions {
    std::vector<DaemonAddress> daemons;
    /// Local addresses that connections are bound to, used in rotation.
    std::vector<std::string> sources;
    std::vector<CallerLoad> loads;
    std::string historyPath;
    std::uint64_t seed = 1;
    Milliseconds duration { 10000 };
    /// The loads take turns at bursting: for this long, one of them submits at five times its mean rate. Zero for a
    /// steady rate.
    Milliseconds burst {};
    /// Prefix of the names of this process's submissions.
    std::string name = "c";
};

} // namespace Greengage
