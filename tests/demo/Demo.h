#pragma once

#include <tests/site/Site.h>

#include <cstdint>

namespace Greengage {

/// One run of a complete site: seven daemons in four availability zones, five services, callers in bursts, a
/// maintenance wave, a key that is withdrawn and a graceful stop.
class Demo {
public:
    explicit Demo(std::uint64_t seed);

    /// Runs the demo and prints its progress and finally the result of the history check. Returns whether all
    /// guarantees held, the wave was done in time and all daemons stopped gracefully.
    bool run();

private:
    void startSite();
    void startLoad();
    void startWave();
    void withdrawKey();
    bool finishWave();
    bool stopAll();
    bool reportVerdict() const;

    std::uint64_t seed;
    Site site;
};

} // namespace Greengage
