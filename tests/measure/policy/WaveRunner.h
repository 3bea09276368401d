#pragma once

#include "WaveChooser.h"

#include <core/time/Instant.h>
#include <modules/fleet/tests/placement/FakeSite.h>

#include <map>
#include <random>
#include <vector>

namespace Greengage {

/// Runs a maintenance wave over all workers of a simulated site under load. A WaveChooser decides which workers to
/// drain next, and reboot times are drawn at random.
class WaveRunner {
public:
    static constexpr int maxOutOfService = 8;
    static constexpr Seconds meanRebootTime { 120 };

    WaveRunner(FakeSite&, int zones, WaveMode, unsigned seed);

    /// Finishes drains and reboots that are complete and starts new drains. Call it once per second of virtual time.
    void tick();
    bool isDone() const;
    /// Number of workers that are out of service now.
    std::size_t outOfServiceCount() { return this->chooser.ledger().vms.size(); }
    /// Shortest roll-out that the budgets and the mean drain and reboot times allow.
    Seconds lowerBound() const;

private:
    void startDrains();
    void advanceMaintenance();

    FakeSite& site;
    std::mt19937 random;
    WaveChooser chooser;
    std::map<VmId, std::size_t> indexes;
    std::map<VmId, Instant> rebootDoneAt;
    /// In WaveMode::Batches, the previous batch, which is kept idle as spares for the next one.
    std::vector<VmId> spares;
};

} // namespace Greengage
