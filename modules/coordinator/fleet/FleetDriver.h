#pragma once

#include <coordinator/fleet/MachineService.h>
#include <coordinator/fleet/WaveRecord.h>
#include <coordinator/leadership/Leadership.h>
#include <coordinator/store/SharedStore.h>
#include <core/time/UnixClock.h>
#include <jobs/board/JobBoard.h>
#include <jobs/model/UpkeepWave.h>
#include <jobs/systems/PoolSizing.h>
#include <jobs/systems/UpkeepSystem.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace Greengage {

/// Sizes the pools and carries out the operators' waves while this daemon holds the leadership. Each VM that was taken
/// down is stored before the next step, so that another holder goes on where this one stopped.
template <SharedStore Store, MachineService Machines> class FleetDriver {
public:
    /// Told to the operators: whether a wave is completed.
    using Publish = std::function<void(std::int64_t wave, bool isCompleted, KvCommit&)>;

    FleetDriver(Store& store, Machines& machines, Leadership<Store>& leadership, JobBoard& board, Deadline ordersFrom,
        Publish publish)
        : store(store)
        , machines(machines)
        , leadership(leadership)
        , board(board)
        , system(board)
        , sizing(board)
        , ordersFrom(ordersFrom)
        , publish(std::move(publish))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~FleetDriver() { *this->alive = false; }

    FleetDriver(const FleetDriver&) = delete;
    FleetDriver& operator=(const FleetDriver&) = delete;

    /// From now on answers that are still to come change nothing.
    void close() { *this->alive = false; }

    void tick(const std::map<std::int64_t, UpkeepWave>& waves, Instant now)
    {
        if (this->nextListing.hasPassed(now) && !this->isListing)
            this->list(now);
        if (!this->listedAt)
            return;
        std::erase_if(this->mayBeDown, [now](const auto& entry) { return entry.second.hasPassed(now); });
        std::erase_if(this->onTheirWay, [now](const auto& entry) { return entry.second.until.hasPassed(now); });
        if (!this->leadership.mayGiveDuties(now))
            return;
        // Until then, tasks that the earlier holder has told to stop may still look as if they were at work.
        if (!this->ordersFrom.hasPassed(now))
            return;
        this->tickWaves(waves, now);
        if (this->nextSizing.hasPassed(now)) {
            this->nextSizing = Deadline::after(now, sizingPeriod);
            this->sizePools(now);
        }
    }

    /// A job has come to a pool.
    void noteArrival(const PoolId& pool, const JobSpec& spec, Instant now)
    {
        this->sizing.noteArrival(pool, spec, now);
    }

private:
    struct Progress {
        WaveRecord record;
        std::int64_t revision = 0;
    };

    struct Arrival {
        PoolId pool;
        Deadline until;
    };

    /// The fleet is listed this often.
    static constexpr Milliseconds listingPeriod { 500 };
    static constexpr Milliseconds sizingPeriod { 100 };
    /// A VM that was ordered down counts as down for so long, whatever an older listing says.
    static constexpr Milliseconds orderedDownFor { 2500 };
    /// A VM that was ordered into a pool counts as on its way for so long.
    static constexpr Milliseconds onItsWayFor { 3000 };
    static constexpr Milliseconds retryPause { 400 };

    void sizePools(Instant now)
    {
        std::map<PoolId, std::int64_t> incoming;
        std::set<VmId> busy(this->underWay.begin(), this->underWay.end());
        for (const auto& [machine, arrival] : this->onTheirWay) {
            incoming[arrival.pool] += 1;
            busy.insert(machine);
        }
        for (const auto& [machine, until] : this->mayBeDown)
            busy.insert(machine);
        for (const auto& [machine, until] : this->notBefore) {
            if (!until.hasPassed(now))
                busy.insert(machine);
        }
        for (const auto& order : this->sizing.advance(this->fleet, incoming, busy, now, unixMilliseconds()))
            this->move(order, now);
    }

    void move(const MoveOrder& order, Instant now)
    {
        this->underWay.insert(order.machine);
        this->onTheirWay[order.machine] = { order.to, Deadline::after(now, onItsWayFor) };
        writeLog(LogLevel::Info,
            LogLine("move_ordered")
                .add("machine", order.machine.string())
                .add("from", order.from.string())
                .add("to", order.to.string()));
        this->machines.move(order.machine, order.to, this->leadership.currentTerm().fencingToken,
            [this, alive = this->alive, order](MachineOutcome outcome) {
                if (*alive)
                    this->takeMove(order, outcome);
            });
    }

    void takeMove(const MoveOrder& order, MachineOutcome outcome)
    {
        Instant now = BootClock::now();
        this->underWay.erase(order.machine);
        writeLog(outcome == MachineOutcome::Taken ? LogLevel::Info : LogLevel::Warning,
            LogLine("move_answered").add("machine", order.machine.string()).add("outcome", nameOf(outcome)));
        if (outcome == MachineOutcome::Fenced) {
            this->leadership.stepDown("a machine knows a higher token");
            return;
        }
        if (outcome == MachineOutcome::Taken) {
            this->onTheirWay[order.machine] = { order.to, Deadline::after(now, onItsWayFor) };
            return;
        }
        this->notBefore[order.machine] = Deadline::after(now, retryPause);
        if (outcome == MachineOutcome::NoAnswer)
            return;
        // The VM stays where it is, so its worker takes work again.
        this->onTheirWay.erase(order.machine);
        auto facts = this->fleet.find(order.machine);
        if (facts == this->fleet.end())
            return;
        if (auto* worker = this->board.findWorker(facts->second.worker))
            worker->isEvacuating = false;
    }

    void tickWaves(const std::map<std::int64_t, UpkeepWave>& waves, Instant now)
    {
        const UpkeepWave* current = nullptr;
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
            if (this->isEmptying)
                this->system.release();
            this->isEmptying = false;
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
            writeLog(
                LogLevel::Info, LogLine("wave_taken_up").add("wave", number).add("done", loaded.record.done.size()));
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
            // Read again what is stored; orders that were carried out are answered as done when they are repeated.
            writeLog(LogLevel::Warning, LogLine("wave_not_stored").add("wave", number));
            this->progress.erase(number);
        });
    }

    void list(Instant now)
    {
        this->isListing = true;
        this->nextListing = Deadline::after(now, listingPeriod);
        this->machines.list([this, alive = this->alive, now](auto result) {
            if (!*alive)
                return;
            this->isListing = false;
            if (!result.has_value()) {
                writeLog(LogLevel::Warning, LogLine("fleet_not_listed").add("reason", nameOf(result.error())));
                return;
            }
            this->listedAt = now;
            this->fleet.clear();
            for (auto& facts : result.value()) {
                auto arrival = this->onTheirWay.find(facts.id);
                bool hasArrived = arrival != this->onTheirWay.end() && facts.pool == arrival->second.pool
                    && facts.state == MachineState::Up && !this->underWay.contains(facts.id);
                if (hasArrived)
                    this->onTheirWay.erase(arrival);
                this->fleet[facts.id] = facts;
            }
        });
    }

    void advance(const UpkeepWave& wave, Instant now)
    {
        Progress& progress = this->progress.at(wave.number);
        UpkeepWave current = wave;
        current.done = progress.record.done;
        bool isOver = std::all_of(wave.machines.begin(), wave.machines.end(),
            [&](const VmId& machine) { return current.done.contains(machine) || !this->fleet.contains(machine); });
        if (isOver) {
            writeLog(LogLevel::Info, LogLine("wave_completed").add("wave", wave.number));
            progress.record.isCompleted = true;
            this->system.release();
            this->save(wave.number);
            return;
        }
        this->isEmptying = true;
        for (const auto& machine : this->system.advance(current, this->fleet, this->mayBeDown, now)) {
            if (!this->underWay.contains(machine) && !this->onTheirWay.contains(machine)
                && (!this->notBefore.contains(machine) || this->notBefore.at(machine).hasPassed(now)))
                this->takeDown(wave.number, machine);
        }
    }

    void takeDown(std::int64_t wave, const VmId& machine)
    {
        this->underWay.insert(machine);
        // Counts as down from the order on, since the answer may be lost.
        this->mayBeDown[machine] = Deadline::never();
        writeLog(LogLevel::Info, LogLine("upkeep_ordered").add("wave", wave).add("machine", machine.string()));
        this->machines.beginUpkeep(machine, wave, this->leadership.currentTerm().fencingToken,
            [this, alive = this->alive, wave, machine](MachineOutcome outcome) {
                if (*alive)
                    this->takeOutcome(wave, machine, outcome);
            });
    }

    void takeOutcome(std::int64_t wave, const VmId& machine, MachineOutcome outcome)
    {
        Instant now = BootClock::now();
        this->underWay.erase(machine);
        writeLog(LogLevel::Info,
            LogLine("upkeep_answered")
                .add("wave", wave)
                .add("machine", machine.string())
                .add("outcome", nameOf(outcome)));
        bool mayHaveBegun = outcome == MachineOutcome::Taken || outcome == MachineOutcome::NoAnswer;
        if (mayHaveBegun)
            this->mayBeDown[machine] = Deadline::after(now, orderedDownFor);
        else
            this->mayBeDown.erase(machine);
        this->notBefore[machine] = Deadline::after(now, retryPause);
        if (outcome == MachineOutcome::Fenced)
            this->leadership.stepDown("a machine knows a higher token");
        if (outcome != MachineOutcome::Taken || !this->progress.contains(wave))
            return;
        this->progress.at(wave).record.done.insert(machine);
        if (!this->isStoring && this->leadership.isHolder())
            this->save(wave);
    }

    Store& store;
    Machines& machines;
    Leadership<Store>& leadership;
    JobBoard& board;
    UpkeepSystem system;
    PoolSizing sizing;
    /// An earlier holder may have given orders until then.
    Deadline ordersFrom;
    Publish publish;
    std::shared_ptr<bool> alive;
    std::map<std::int64_t, Progress> progress;
    std::map<VmId, MachineFacts> fleet;
    std::map<VmId, Deadline> mayBeDown;
    std::map<VmId, Deadline> notBefore;
    std::map<VmId, Arrival> onTheirWay;
    std::set<VmId> underWay;
    Deadline nextSizing;
    Deadline nextListing;
    std::optional<Instant> listedAt;
    bool isListing = false;
    bool isStoring = false;
    bool isEmptying = false;
};

} // namespace Greengage
