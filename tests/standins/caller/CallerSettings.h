#pragma once

#include <core/time/Instant.h>
#include <standins/caller/CallerLoad.h>
#include <standins/caller/DaemonAddress.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// Everything that one run of the caller stand-in is told.
struct CallerSettings {
    std::vector<DaemonAddress> daemons;
    /// Local addresses that connections are bound to, taken in turn.
    std::vector<std::string> sources;
    std::vector<CallerLoad> loads;
    std::string historyPath;
    std::uint64_t seed = 1;
    Milliseconds duration { 10000 };
    /// How long each load in turn asks for five times its mean; zero for a steady rate.
    Milliseconds burst {};
    /// Begins the names of this process's submissions.
    std::string name = "c";
};

} // namespace Greengage
