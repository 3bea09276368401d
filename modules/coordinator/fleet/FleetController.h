#pragma once

#include <coordinator/fleet/FleetView.h>
#include <coordinator/fleet/MoveTracker.h>
#include <coordinator/fleet/VmOrderList.h>
#include <coordinator/fleet/VmService.h>
#include <coordinator/fleet/WaveRecord.h>
#include <coordinator/leadership/Leadership.h>
#include <coordinator/store/SharedStore.h>
#include <core/time/UnixClock.h>
#include <jobs/model/MaintenanceWave.h>
#include <jobs/systems/MaintenanceSystem.h>
#include <jobs/systems/PoolSizing.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace Greengage {

/// Sizes the pools and carries out the operators' maintenance waves while this daemon is the leader. Each VM that has
/// gone into maintenance is stored before the next step, so that another leader continues where this one stopped.
template <SharedStore Store, VmService Vms> class FleetController {
public:
    /// Adds to a commit what the operators see of a wave: whether it is completed.
    using Publish = std::function<void(std::int64_t wave, bool isCompleted, KvCommit&)>;

    /// `unfencedOrdersFrom` is when orders of earlier leaders to VMs can no longer take effect, and `turnPeriod` the
    /// least time between orders of two leaders to one VM.
    FleetController(Store& store, Vms& vmService, Leadership<Store>& leadership, JobTables& tables,
        Deadline unfencedOrdersFrom, Milliseconds turnPeriod, Publish publish)
        : store(store)
        , vmService(vmService)
        , leadership(leadership)
        , tables(tables)
        , system(tables)
        , sizing(tables)
        , moves(tables)
        , orderList(store, leadership, leadership.currentTerm().epoch, unfencedOrdersFrom, turnPeriod)
        , unfencedOrdersFrom(unfencedOrdersFrom)
        , publish(std::move(publish))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~FleetController() { *this->alive = false; }

    FleetController(const FleetController&) = delete;
    FleetController& operator=(const FleetController&) = delete;

    /// Ignores all answers that arrive from now on.
    void close()
    {
        *this->alive = false;
        this->orderList.close();
    }

    void tick(const std::map<std::int64_t, MaintenanceWave>& waves, Instant now)
    {
        if (this->nextListing.hasPassed(now) && !this->isListing)
            this->list(now);
        if (!this->fleet.isKnown())
            return;
        std::erase_if(this->possiblyDown, [&](const auto& entry) {
            return entry.second.hasPassed(now) && this->fleet.isNewerThan(entry.second.at() - orderedDownPeriod);
        });
        std::erase_if(this->arrivingVms, [now](const auto& entry) { return entry.second.until.hasPassed(now); });
        if (!this->leadership.maySendUnfencedOrders(now))
            return;
        // Until then, tasks that an earlier leader has ordered to stop may still be reported as running.
        if (this->unfencedOrdersFrom.hasPassed(now))
            this->tickWaves(waves, now);
        if (this->nextSizing.hasPassed(now)) {
            this->nextSizing = Deadline::after(now, sizingPeriod);
            this->sizePools(now);
        }
        this->orderList.flush(now);
    }

    /// Records a new job of a pool, from which the demand for VMs is estimated.
    void recordArrival(const PoolId& pool, const JobSpec& spec, Instant now)
    {
        this->sizing.recordArrival(pool, spec, now);
    }

private:
    struct Progress {
        WaveRecord record;
        std::int64_t revision = 0;
        /// VMs that the listings lack since the answer to an order said that they are not up.
        std::set<VmId> absent;
    };

    struct Arrival {
        PoolId pool;
        Deadline until;
    };

    /// Time between listings of the fleet.
    static constexpr Milliseconds listingPeriod { 500 };
    static constexpr Milliseconds sizingPeriod { 100 };
    /// A VM whose maintenance was ordered counts as down for this long, and until there is a listing that was requested
    /// after the order.
    static constexpr Milliseconds orderedDownPeriod { 2500 };
    /// A VM that was ordered into a pool counts as arriving there for this long. The order takes effect until then or
    /// not at all.
    static constexpr Milliseconds arrivalLimit { 3000 };
    static constexpr Milliseconds retryPause { 400 };

    void sizePools(Instant now)
    {
        std::map<PoolId, std::int64_t> incoming;
        std::set<VmId> busy(this->pendingOrders.begin(), this->pendingOrders.end());
        for (const auto& [vm, arrival] : this->arrivingVms) {
            incoming[arrival.pool] += 1;
            busy.insert(vm);
        }
        for (const auto& [vm, until] : this->possiblyDown)
            busy.insert(vm);
        std::set<VmId> pinned;
        for (const auto& [vm, info] : this->fleet.vms()) {
            auto retry = this->retryFrom.find(vm);
            if ((retry != this->retryFrom.end() && !retry->second.hasPassed(now)) || !this->orderList.mayOrder(vm, now))
                pinned.insert(vm);
        }
        for (const auto& order :
            this->sizing.advance(this->fleet.vms(), incoming, busy, pinned, now, unixMilliseconds()))
            this->move(order, now);
    }

    void move(const MoveOrder& order, Instant now)
    {
        this->pendingOrders.insert(order.vm);
        this->moves.begin(this->fleet.vms().at(order.vm));
        this->arrivingVms[order.vm] = { order.to, Deadline::after(now, arrivalLimit) };
        writeLog(LogLevel::Info,
            LogLine("move_ordered")
                .add("machine", order.vm.string())
                .add("from", order.from.string())
                .add("to", order.to.string()));
        this->orderList.record(order.vm, [this, alive = this->alive, order](bool mayBeSent) {
            if (!*alive)
                return;
            if (mayBeSent && this->leadership.maySendUnfencedOrders(BootClock::now()))
                this->sendMove(order);
            else
                this->handleMoveOutcome(order, VmOrderOutcome::Unavailable);
        });
    }

    /// Sends an order that is on the stored list.
    void sendMove(const MoveOrder& order)
    {
        this->vmService.move(order.vm, order.to, this->leadership.currentTerm().fencingToken,
            [this, alive = this->alive, order](VmOrderOutcome outcome) {
                if (*alive)
                    this->handleMoveOutcome(order, outcome);
            });
    }

    void handleMoveOutcome(const MoveOrder& order, VmOrderOutcome outcome)
    {
        Instant now = BootClock::now();
        this->pendingOrders.erase(order.vm);
        if (outcome != VmOrderOutcome::NoAnswer)
            this->orderList.handleAnswer(order.vm, now);
        writeLog(outcome == VmOrderOutcome::Accepted ? LogLevel::Info : LogLevel::Warning,
            LogLine("move_answered").add("machine", order.vm.string()).add("outcome", nameOf(outcome)));
        if (outcome == VmOrderOutcome::Fenced) {
            this->leadership.stepDown("a machine has seen a higher fencing token");
            return;
        }
        if (outcome == VmOrderOutcome::Accepted || outcome == VmOrderOutcome::NoAnswer)
            this->moves.settleBy(order.vm, Deadline::after(now, arrivalLimit));
        if (outcome == VmOrderOutcome::Accepted) {
            this->arrivingVms[order.vm] = { order.to, Deadline::after(now, arrivalLimit) };
            return;
        }
        this->retryFrom[order.vm] = Deadline::after(now, retryPause);
        if (outcome == VmOrderOutcome::NoAnswer)
            return;
        this->arrivingVms.erase(order.vm);
        this->moves.cancel(order.vm);
    }

    void tickWaves(const std::map<std::int64_t, MaintenanceWave>& waves, Instant now)
    {
        const MaintenanceWave* current = nullptr;
        for (const auto& [number, wave] : waves) {
            auto progress = this->progress.find(number);
            if (progress == this->progress.end()) {
                this->load(number);
                return;
            }
            if (!progress->second.record.isCompleted) {
                current = &wave;
                break;
            }
        }
        if (!current) {
            if (this->isDraining)
                this->system.endDrains();
            this->isDraining = false;
        } else if (!this->isStoring)
            this->advance(*current, now);
    }

    void load(std::int64_t number)
    {
        if (this->isStoring)
            return;
        this->isStoring = true;
        this->store.read(keyOf(number), [this, alive = this->alive, number](auto result) {
            if (!*alive)
                return;
            this->isStoring = false;
            if (!result.has_value())
                return;
            Progress loaded;
            if (result.value()) {
                loaded.revision = result.value()->revision;
                if (auto record = WaveRecord::decode(result.value()->value))
                    loaded.record = *record;
                else
                    writeLog(LogLevel::Error, LogLine("stored_wave_unreadable").add("wave", number));
            }
            writeLog(LogLevel::Info, LogLine("wave_loaded").add("wave", number).add("done", loaded.record.done.size()));
            this->progress[number] = loaded;
            if (!loaded.revision)
                this->save(number);
        });
    }

    static std::string keyOf(std::int64_t number) { return StoreKeys::waves + std::to_string(number); }

    void save(std::int64_t number)
    {
        Progress& progress = this->progress.at(number);
        KvCommit commit { { this->leadership.condition(), { keyOf(number), progress.revision } },
            { { keyOf(number), progress.record.encode() } }, {} };
        this->publish(number, progress.record.isCompleted, commit);
        this->isStoring = true;
        this->store.commit(std::move(commit), [this, alive = this->alive, number](auto result) {
            if (!*alive)
                return;
            this->isStoring = false;
            if (result.has_value() && result.value().isCommitted) {
                this->progress.at(number).revision = result.value().revision;
                return;
            }
            // The progress is read again from the store. Orders that were carried out are answered as done when
            // repeated.
            writeLog(LogLevel::Warning, LogLine("wave_not_stored").add("wave", number));
            this->progress.erase(number);
        });
    }

    void list(Instant now)
    {
        this->isListing = true;
        this->nextListing = Deadline::after(now, listingPeriod);
        this->vmService.list([this, alive = this->alive, now](auto result) {
            if (!*alive)
                return;
            this->isListing = false;
            if (!result.has_value()) {
                writeLog(LogLevel::Warning, LogLine("fleet_not_listed").add("reason", nameOf(result.error())));
                return;
            }
            this->fleet.apply(result.value(), now);
            this->markEndedWorkers();
            for (const auto& info : result.value()) {
                auto arrival = this->arrivingVms.find(info.id);
                bool hasArrived = arrival != this->arrivingVms.end() && info.pool == arrival->second.pool
                    && info.state == VmPhase::Up && !this->pendingOrders.contains(info.id);
                if (hasArrived)
                    this->arrivingVms.erase(arrival);
            }
            this->moves.settle(this->fleet.vms(), now);
        });
    }

    /// Marks the workers that have ended with their VMs, so that their tasks need not wait for the end of the leases.
    void markEndedWorkers()
    {
        for (auto& [id, worker] : this->tables.workers)
            worker.hasEnded = worker.isSuspect && this->fleet.hasWorkerEnded(id, worker.lastReport);
    }

    void advance(const MaintenanceWave& wave, Instant now)
    {
        Progress& progress = this->progress.at(wave.number);
        MaintenanceWave current = wave;
        current.done = progress.record.done;
        std::erase_if(progress.absent, [this](const VmId& vm) { return this->fleet.vms().contains(vm); });
        bool isFinished = std::all_of(wave.vms.begin(), wave.vms.end(),
            [&](const VmId& vm) { return current.done.contains(vm) || this->hasLeft(wave, vm); });
        if (isFinished) {
            writeLog(LogLevel::Info,
                LogLine("wave_completed")
                    .add("wave", wave.number)
                    .add("machines", wave.vms.size())
                    .add("done", current.done.size())
                    .add("absent", progress.absent.size()));
            progress.record.isCompleted = true;
            this->system.endDrains();
            this->save(wave.number);
            return;
        }
        for (const auto& vm : wave.vms) {
            bool isInDoubt = this->fleet.isUnlisted(vm, wave.receivedAt) && !progress.absent.contains(vm);
            if (isInDoubt && !this->mayRunTasks(vm))
                current.unlisted.insert(vm);
        }
        this->isDraining = true;
        auto ready = this->system.advance(current, this->fleet.vms(), this->possiblyDown, now);
        for (const auto& worker : this->system.drainsGivenUp())
            writeLog(
                LogLevel::Warning, LogLine("drain_given_up").add("wave", wave.number).add("worker", worker.string()));
        for (const auto& vm : ready) {
            if (!this->pendingOrders.contains(vm) && !this->arrivingVms.contains(vm)
                && this->orderList.mayOrder(vm, now)
                && (!this->retryFrom.contains(vm) || this->retryFrom.at(vm).hasPassed(now)))
                this->orderMaintenance(wave.number, vm);
        }
    }

    /// Whether the VM has left the fleet: two listings lack it, and it is not up by the answer to an order. Listings
    /// alone do not show it, since they may show an old fleet, which a new VM is not part of.
    bool hasLeft(const MaintenanceWave& wave, const VmId& vm) const
    {
        return this->progress.at(wave.number).absent.contains(vm) && this->fleet.isUnlisted(vm, wave.receivedAt);
    }

    /// Whether a worker that is in touch may run tasks on this VM, which the listings lack.
    bool mayRunTasks(const VmId& vm) const
    {
        return std::any_of(this->tables.workers.begin(), this->tables.workers.end(), [&](const auto& entry) {
            return !entry.second.isSuspect && this->fleet.mayRunOnUnlisted(entry.first, vm);
        });
    }

    void orderMaintenance(std::int64_t wave, const VmId& vm)
    {
        this->pendingOrders.insert(vm);
        // Counts as down from now on, since the answer may be lost.
        this->possiblyDown[vm] = Deadline::never();
        writeLog(LogLevel::Info, LogLine("maintenance_ordered").add("wave", wave).add("machine", vm.string()));
        this->orderList.record(vm, [this, alive = this->alive, wave, vm](bool mayBeSent) {
            if (!*alive)
                return;
            if (mayBeSent && this->leadership.maySendUnfencedOrders(BootClock::now()))
                this->sendMaintenance(wave, vm);
            else
                this->handleMaintenanceOutcome(wave, vm, VmOrderOutcome::Unavailable);
        });
    }

    void sendMaintenance(std::int64_t wave, const VmId& vm)
    {
        this->vmService.beginMaintenance(vm, wave, this->leadership.currentTerm().fencingToken,
            [this, alive = this->alive, wave, vm](VmOrderOutcome outcome) {
                if (*alive)
                    this->handleMaintenanceOutcome(wave, vm, outcome);
            });
    }

    void handleMaintenanceOutcome(std::int64_t wave, const VmId& vm, VmOrderOutcome outcome)
    {
        Instant now = BootClock::now();
        this->pendingOrders.erase(vm);
        if (outcome != VmOrderOutcome::NoAnswer)
            this->orderList.handleAnswer(vm, now);
        writeLog(LogLevel::Info,
            LogLine("maintenance_answered")
                .add("wave", wave)
                .add("machine", vm.string())
                .add("outcome", nameOf(outcome)));
        bool mayHaveBegun = outcome == VmOrderOutcome::Accepted || outcome == VmOrderOutcome::NoAnswer;
        if (mayHaveBegun)
            this->possiblyDown[vm] = Deadline::after(now, orderedDownPeriod);
        else
            this->possiblyDown.erase(vm);
        this->retryFrom[vm] = Deadline::after(now, retryPause);
        if (outcome == VmOrderOutcome::Fenced)
            this->leadership.stepDown("a machine has seen a higher fencing token");
        auto progress = this->progress.find(wave);
        if (progress == this->progress.end())
            return;
        bool isNotUp = outcome == VmOrderOutcome::NoSuchVm || outcome == VmOrderOutcome::Busy;
        if (isNotUp && !this->fleet.vms().contains(vm))
            progress->second.absent.insert(vm);
        if (outcome != VmOrderOutcome::Accepted)
            return;
        progress->second.record.done.insert(vm);
        if (!this->isStoring && this->leadership.isLeader())
            this->save(wave);
    }

    Store& store;
    Vms& vmService;
    Leadership<Store>& leadership;
    JobTables& tables;
    MaintenanceSystem system;
    PoolSizing sizing;
    MoveTracker moves;
    VmOrderList<Store> orderList;
    /// When unfenced orders of an earlier leader can no longer take effect. Waves do not go on before.
    Deadline unfencedOrdersFrom;
    Publish publish;
    std::shared_ptr<bool> alive;
    std::map<std::int64_t, Progress> progress;
    FleetView fleet;
    std::map<VmId, Deadline> possiblyDown;
    std::map<VmId, Deadline> retryFrom;
    std::map<VmId, Arrival> arrivingVms;
    std::set<VmId> pendingOrders;
    Deadline nextSizing;
    Deadline nextListing;
    bool isListing = false;
    bool isStoring = false;
    bool isDraining = false;
};

} // namespace Greengage
