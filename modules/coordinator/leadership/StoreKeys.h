#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// Keys and key prefixes of the coordinator in the shared store.
struct StoreKeys {
    static constexpr const char* leadership = "gg/lead/";
    /// The leader: the daemon that places tasks.
    static constexpr const char* leader = "gg/lead/holder";
    /// The heartbeat, rewritten by the leader while it is alive.
    static constexpr const char* heartbeat = "gg/lead/beat";
    /// A larger daemon's offer to replace the leader.
    static constexpr const char* offer = "gg/lead/offer";
    /// Prefix of the processor time that each daemon has.
    static constexpr const char* sizes = "gg/lead/size/";
    /// The worker roster: workers that may run tasks, whether the directory lists them or not.
    static constexpr const char* workerRoster = "gg/crew";
    /// VMs that the leader may have sent orders to lately.
    static constexpr const char* vmOrders = "gg/fleet/orders";
    /// Prefix of the progress of maintenance waves.
    static constexpr const char* waves = "gg/wave/";
    /// Prefix of open jobs, with their cancellation and progress below them.
    static constexpr const char* jobs = "gg/job/";
    /// Prefix of jobs that have ended.
    static constexpr const char* ended = "gg/done/";

    static std::string size(const DaemonId& id) { return sizes + id.string(); }
    static std::string job(const JobId& id) { return jobs + id.string(); }
    static std::string cancellation(const JobId& id) { return job(id) + "/cancel"; }
    static std::string progress(const JobId& id) { return job(id) + "/progress"; }
    static std::string end(const JobId& id) { return ended + id.string(); }
};

} // namespace Greengage
