#pragma once

#include <coordinator/leadership/Leadership.h>
#include <coordinator/store/SharedStore.h>
#include <coordinator/upkeep/MachineService.h>
#include <coordinator/upkeep/WaveRecord.h>
#include <jobs/board/JobBoard.h>
#include <jobs/model/UpkeepWave.h>
#include <jobs/systems/UpkeepSystem.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace Greengage {

/// Carries out the operators' waves while this daemon holds the leadership. Each VM that was taken down is stored
/// before the next step, so that another holder goes on where this one stopped.
template <SharedStore Store, MachineService Machines> class UpkeepDriver {
public:
    /// Told to the operators: whether a wave is completed.
    using Publish = std::function<void(std::int64_t wave, bool isCompleted, KvCommit&)>;

    UpkeepDriver(Store& store, Machines& machines, Leadership<Store>& leadership, JobBoard& board, Deadline ordersFrom,
        Publish publish)
        : store(store)
        , machines(machines)
        , leadership(leadership)
        , board(board)
        , system(board)
        , ordersFrom(ordersFrom)
        , publish(std::move(publish))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~UpkeepDriver() { *this->alive = false; }

    UpkeepDriver(const UpkeepDriver&) = delete;
    UpkeepDriver& operator=(const UpkeepDriver&) = delete;

    void tick(const std::map<std::int64_t, UpkeepWave>& waves, Instant now)
    {
        if (waves.empty())
            return;
        std::erase_if(this->mayBeDown, [now](const auto& entry) { return entry.second.hasPassed(now); });
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
            return;
        }
        if (this->nextListing.hasPassed(now) && !this->isListing)
            this->list(now);
        if (this->listedAt && !this->isStoring)
            this->advance(*current, now);
    }

private:
    struct Progress {
        WaveRecord record;
        std::int64_t revision = 0;
    };

    /// The fleet is listed this often while a wave is under way.
    static constexpr Milliseconds listingPeriod { 500 };
    /// A VM that was ordered down counts as down for so long, whatever an older listing says.
    static constexpr Milliseconds orderedDownFor { 2500 };
    static constexpr Milliseconds retryPause { 400 };

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
            for (auto& facts : result.value())
                this->fleet[facts.id] = facts;
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
            if (this->ordersFrom.hasPassed(now) && !this->underWay.contains(machine)
                && (!this->notBefore.contains(machine) || this->notBefore.at(machine).hasPassed(now)))
                this->takeDown(wave.number, machine, now);
        }
    }

    void takeDown(std::int64_t wave, const VmId& machine, Instant now)
    {
        this->underWay.insert(machine);
        // Counts as down from the order on, since the answer may be lost.
        this->mayBeDown[machine] = Deadline::never();
        writeLog(LogLevel::Info, LogLine("upkeep_ordered").add("wave", wave).add("machine", machine.string()));
        this->machines.beginUpkeep(machine, wave, this->leadership.currentTerm().fencingToken,
            [this, alive = this->alive, wave, machine, now](MachineOutcome outcome) {
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
    /// An earlier holder may have given orders until then.
    Deadline ordersFrom;
    Publish publish;
    std::shared_ptr<bool> alive;
    std::map<std::int64_t, Progress> progress;
    std::map<VmId, MachineFacts> fleet;
    std::map<VmId, Deadline> mayBeDown;
    std::map<VmId, Deadline> notBefore;
    std::set<VmId> underWay;
    Deadline nextListing;
    std::optional<Instant> listedAt;
    bool isListing = false;
    bool isStoring = false;
    bool isEmptying = false;
};

} // namespace Greengage
