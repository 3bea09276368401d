#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// The keys that this product keeps in the shared store.
struct StoreKeys {
    static constexpr const char* leadership = "gg/lead/";
    /// Who places tasks.
    static constexpr const char* holder = "gg/lead/holder";
    /// Rewritten by the holder while it is alive.
    static constexpr const char* beat = "gg/lead/beat";
    /// A larger daemon's offer to place tasks instead of the holder.
    static constexpr const char* offer = "gg/lead/offer";
    /// Below it, how much processor time each daemon has.
    static constexpr const char* sizes = "gg/lead/size/";
    /// The workers that may run tasks, listed or not.
    static constexpr const char* crew = "gg/crew";
    static constexpr const char* waves = "gg/wave/";
    /// Open jobs, with their cancellation and progress below them.
    static constexpr const char* jobs = "gg/job/";
    static constexpr const char* ended = "gg/done/";

    static std::string size(const DaemonId& id) { return sizes + id.string(); }
    static std::string job(const JobId& id) { return jobs + id.string(); }
    static std::string cancellation(const JobId& id) { return job(id) + "/cancel"; }
    static std::string progress(const JobId& id) { return job(id) + "/progress"; }
    static std::string end(const JobId& id) { return ended + id.string(); }
};

} // namespace Greengage
