#pragma once

#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/WorkerRosterRecord.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Greengage {

/// Keeps the stored worker roster in line with the job tables. An incarnation of a worker gets its first task only
/// after it is on the stored roster, so that the next leader queries it too and knows how long its lease may be.
template <SharedStore Store> class WorkerRosterManager {
public:
    WorkerRosterManager(Store& store, Leadership<Store>& leadership, JobTables& tables)
        : store(store)
        , leadership(leadership)
        , tables(tables)
        , alive(std::make_shared<bool>(true))
    {
    }

    ~WorkerRosterManager() { *this->alive = false; }

    WorkerRosterManager(const WorkerRosterManager&) = delete;
    WorkerRosterManager& operator=(const WorkerRosterManager&) = delete;

    /// Ignores all answers that arrive from now on.
    void close() { *this->alive = false; }

    /// Whether the roster that the last leader stored has been read.
    bool isLoaded() const { return this->hasLoaded; }

    void tick()
    {
        for (auto& [id, worker] : this->tables.workers)
            worker.isOnRoster = worker.isOnRoster && this->isStored(worker);
        if (this->isUnderWay)
            return;
        if (!this->hasLoaded)
            this->load();
        else if (this->hasChanged())
            this->save();
    }

private:
    /// What the next leader has to know of a worker: at a former address, another worker may answer.
    struct StoredWorker {
        std::int64_t incarnationUnixMs = 0;
        std::string address;
        std::uint16_t port = 0;

        static StoredWorker of(const WorkerInfo& info) { return { info.incarnationUnixMs, info.address, info.port }; }
        bool operator==(const StoredWorker&) const = default;
    };

    void load()
    {
        this->isUnderWay = true;
        this->store.read(StoreKeys::workerRoster, [this, alive = this->alive](auto result) {
            if (!*alive)
                return;
            this->isUnderWay = false;
            if (!result.has_value())
                return;
            this->hasLoaded = true;
            if (!result.value())
                return;
            this->revision = result.value()->revision;
            auto record = WorkerRosterRecord::decode(result.value()->value);
            if (!record) {
                writeLog(LogLevel::Error, LogLine("stored_worker_roster_unreadable"));
                this->tables.isRosterUnreadable = true;
                return;
            }
            for (auto& info : record->workers) {
                auto [entry, isNew] = this->tables.workers.try_emplace(info.id);
                // The directory may have shown a later incarnation than the last leader knew of.
                bool isOther = !isNew && entry->second.info.incarnationUnixMs != info.incarnationUnixMs;
                if (isOther || record->restarted.contains(info.id))
                    entry->second.hasRestarted = true;
                if (!isNew)
                    continue;
                entry->second.info = info;
                entry->second.isListed = false;
                entry->second.isSuspect = true;
            }
        });
    }

    bool hasChanged() const
    {
        std::size_t wanted = 0;
        for (const auto& [id, worker] : this->tables.workers) {
            if (worker.isGone)
                continue;
            wanted += 1;
            if (!this->isStored(worker))
                return true;
        }
        return this->isWriteOpen || this->storedWorkers.size() != wanted;
    }

    /// Whether the stored roster certainly names the worker's current incarnation and address.
    bool isStored(const WorkerRow& worker) const
    {
        auto found = this->storedWorkers.find(worker.info.id);
        return found != this->storedWorkers.end() && found->second == StoredWorker::of(worker.info);
    }

    void save()
    {
        WorkerRosterRecord record;
        std::map<WorkerId, StoredWorker> written;
        for (const auto& [id, worker] : this->tables.workers) {
            if (worker.isGone)
                continue;
            record.workers.push_back(worker.info);
            if (worker.hasRestarted)
                record.restarted.insert(id);
            written.emplace(id, StoredWorker::of(worker.info));
        }
        KvCommit commit { { this->leadership.condition(), { StoreKeys::workerRoster, this->revision } },
            { { StoreKeys::workerRoster, record.encode() } }, {} };
        this->isUnderWay = true;
        // From now on, this roster may be stored or the one before.
        this->isWriteOpen = true;
        std::erase_if(this->storedWorkers, [&written](const auto& entry) {
            auto found = written.find(entry.first);
            return found == written.end() || found->second != entry.second;
        });
        Instant sentAt = BootClock::now();
        this->store.commit(std::move(commit), [this, alive = this->alive, written, sentAt](auto result) {
            if (!*alive)
                return;
            this->isUnderWay = false;
            if (!result.has_value())
                return;
            if (!result.value().isCommitted) {
                // An earlier write, whose answer was lost, was applied; the next write replaces it.
                this->revision = result.value().currentRevision(StoreKeys::workerRoster);
                return;
            }
            this->leadership.confirm(sentAt, result.value().revision);
            this->revision = result.value().revision;
            this->isWriteOpen = false;
            this->storedWorkers = written;
            for (auto& [id, worker] : this->tables.workers)
                worker.isOnRoster = this->isStored(worker);
        });
    }

    Store& store;
    Leadership<Store>& leadership;
    JobTables& tables;
    std::shared_ptr<bool> alive;
    bool isUnderWay = false;
    bool hasLoaded = false;
    std::int64_t revision = 0;
    /// Whether it is not known if the last write was applied.
    bool isWriteOpen = false;
    /// The workers that are certainly stored.
    std::map<WorkerId, StoredWorker> storedWorkers;
};

} // namespace Greengage
