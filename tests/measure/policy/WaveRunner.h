#pragma once

#include "WaveChooser.h"

#include <core/time/Instant.h>
#include <modules/fleet/tests/placement/FakeSite.h>

#include <map>
#include <random>
#include <vector>

namespace Greengage {

/// Maintains every worker of a site once under a budget, with the product's own choice of what to drain next, while the
/// site goes on working. The platform's reboots are drawn at random.
class WaveRunner {
public:
    static constexpr int maxOut = 8;
    static constexpr Seconds meanReboot { 120 };

    WaveRunner(FakeSite&, int zones, WaveMode, unsigned seed);

    /// Does what is due; call it once a virtual second.
    void tick();
    bool isDone() const;
    /// Workers out of service now.
    std::size_t outCount() { return this->chooser.ledger().vms.size(); }
    /// Least time that budgets and drain times allow.
    Seconds lowerBound() const;

private:
    void start();
    void advance();

    FakeSite& site;
    std::mt19937 random;
    WaveChooser chooser;
    std::map<VmId, std::size_t> indexes;
    std::map<VmId, Instant> rebootedAt;
    /// With batches, the last batch, which is held as the spares of the next.
    std::vector<VmId> spares;
};

} // namespace Greengage
