#pragma once

#include <coordinator/fleet/FleetController.h>
#include <coordinator/tests/FakeFleet.h>
#include <coordinator/tests/LoopFixture.h>
#include <coordinator/tests/MemoryStore.h>

#include <map>
#include <memory>
#include <set>

namespace Greengage {

constexpr Milliseconds openOrders { 3000 };

/// A daemon that, as leader, sizes the pools of the shared fleet and carries out waves.
struct FleetDaemon {
    FleetDaemon(event_base& base, MemoryTables& tables, FakeFleet& fleet, const char* name)
        : base(base)
        , store(base, tables)
        , link(base, fleet)
        , leadership(base, this->store, DaemonId(name), IncarnationId(name), 1000,
              { [this](const Term& term) { this->begin(term); }, [this] { this->end(); },
                  [] { return std::string("{}"); }, [](const std::string&) {} })
        , timer(base, [this] { this->tick(); })
    {
        auto policies = std::make_shared<JobPolicies>();
        policies->pools[PoolId("north")] = { PoolId("north"), false, true };
        policies->pools[PoolId("off")] = { PoolId("off"), true, true };
        this->jobs.policies = policies;
        this->leadership.start();
    }

    void begin(const Term& term)
    {
        this->wonAt = BootClock::now();
        this->token = term.fencingToken;
        this->controller = std::make_unique<FleetController<MemoryStore, FakeFleetLink>>(this->store, this->link,
            this->leadership, this->jobs, Deadline::after(this->wonAt, openOrders), openOrders,
            [this](std::int64_t wave, bool isCompleted, KvCommit&) {
                if (isCompleted)
                    this->completedWaves.insert(wave);
            });
        this->timer.schedule(Microseconds(0));
    }

    void end()
    {
        this->controller->close();
        this->ended = std::move(this->controller);
    }

    void tick()
    {
        if (!this->controller)
            return;
        this->controller->tick(this->waves, BootClock::now());
        this->timer.schedule(Milliseconds(20));
    }

    event_base& base;
    MemoryStore store;
    FakeFleetLink link;
    JobTables jobs;
    std::unique_ptr<FleetController<MemoryStore, FakeFleetLink>> controller;
    std::unique_ptr<FleetController<MemoryStore, FakeFleetLink>> ended;
    std::map<std::int64_t, MaintenanceWave> waves;
    /// Waves that the daemon has stored, or tried to store, as completed.
    std::set<std::int64_t> completedWaves;
    Instant wonAt;
    std::int64_t token = 0;
    Leadership<MemoryStore> leadership;
    Timer timer;
};

/// Daemons that share a store and a fleet.
struct FleetFixture : LoopFixture {
    std::unique_ptr<FleetDaemon> start(const char* name)
    {
        return std::make_unique<FleetDaemon>(*this->base, this->tables, this->fleet, name);
    }

    VmInfo& addVm(const std::string& id, const char* pool, const std::string& worker = {})
    {
        VmInfo& info = this->fleet.vms[VmId(id)];
        info.id = VmId(id);
        info.pool = PoolId(pool);
        info.state = VmPhase::Up;
        info.capacity = { 8000, 64'000, 0 };
        info.worker = WorkerId(worker);
        return info;
    }

    MemoryTables tables;
    FakeFleet fleet;
    std::unique_ptr<FleetDaemon> first;
    std::unique_ptr<FleetDaemon> second;
};

} // namespace Greengage
