#pragma once

#include <tests/site/Site.h>

#include <cstdint>

namespace Greengage {

/// One run of a whole site: seven daemons in four availability zones, five services, callers in bursts, a maintenance
/// wave, a key that is withdrawn and a graceful stop.
class Demo {
public:
    explicit Demo(std::uint64_t seed);

    /// Runs everything and prints what happens, last of all the verdict. Tells whether every promise was kept.
    bool run();

private:
    void startSite();
    void startLoad();
    void startWave();
    void withdrawKey();
    bool finishWave();
    bool stopAll();
    bool judge() const;

    std::uint64_t seed;
    Site site;
};

} // namespace Greengage
