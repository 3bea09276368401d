#pragma once

#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/CrewRecord.h>
#include <jobs/board/JobBoard.h>

#include <map>
#include <memory>
#include <vector>

namespace Greengage {

/// Keeps the stored list of workers that may run tasks in line with the board. A worker gets its first task only after
/// it is on the stored list, so that the next holder asks it too.
template <SharedStore Store> class CrewKeeper {
public:
    CrewKeeper(Store& store, Leadership<Store>& leadership, JobBoard& board)
        : store(store)
        , leadership(leadership)
        , board(board)
        , alive(std::make_shared<bool>(true))
    {
    }

    ~CrewKeeper() { *this->alive = false; }

    CrewKeeper(const CrewKeeper&) = delete;
    CrewKeeper& operator=(const CrewKeeper&) = delete;

    /// From now on answers that are still to come change nothing.
    void close() { *this->alive = false; }

    /// Whether the list that the last holder left has been read.
    bool isLoaded() const { return this->hasLoaded; }

    void tick()
    {
        if (this->isUnderWay)
            return;
        if (!this->hasLoaded)
            this->load();
        else if (this->hasChanged())
            this->save();
    }

private:
    void load()
    {
        this->isUnderWay = true;
        this->store.read(StoreKeys::crew, [this, alive = this->alive](auto result) {
            if (!*alive)
                return;
            this->isUnderWay = false;
            if (!result.has_value())
                return;
            this->hasLoaded = true;
            if (!result.value())
                return;
            this->revision = result.value()->revision;
            auto record = CrewRecord::decode(result.value()->value);
            if (!record) {
                writeLog(LogLevel::Error, LogLine("stored_crew_unreadable"));
                return;
            }
            for (auto& facts : record->workers) {
                auto [entry, isNew] = this->board.workers.try_emplace(facts.id);
                if (!isNew)
                    continue;
                entry->second.facts = facts;
                entry->second.isListed = false;
                entry->second.isSuspect = true;
            }
        });
    }

    bool hasChanged() const
    {
        if (this->recorded.size() != this->board.workers.size())
            return true;
        for (const auto& [id, worker] : this->board.workers) {
            auto found = this->recorded.find(id);
            if (found == this->recorded.end() || found->second != worker.facts.bornUnixMs)
                return true;
        }
        return false;
    }

    void save()
    {
        CrewRecord record;
        std::map<WorkerId, std::int64_t> written;
        for (const auto& [id, worker] : this->board.workers) {
            record.workers.push_back(worker.facts);
            written.emplace(id, worker.facts.bornUnixMs);
        }
        KvCommit commit { { this->leadership.condition(), { StoreKeys::crew, this->revision } },
            { { StoreKeys::crew, record.encode() } }, {} };
        this->isUnderWay = true;
        Instant sentAt = BootClock::now();
        this->store.commit(std::move(commit), [this, alive = this->alive, written, sentAt](auto result) {
            if (!*alive)
                return;
            this->isUnderWay = false;
            if (!result.has_value())
                return;
            if (!result.value().isCommitted) {
                // An earlier write whose answer was lost; the next one replaces it.
                this->revision = result.value().currentRevision(StoreKeys::crew);
                return;
            }
            this->leadership.confirm(sentAt);
            this->revision = result.value().revision;
            this->recorded = written;
            for (const auto& [id, born] : written) {
                if (auto* worker = this->board.findWorker(id))
                    worker->isRecorded = true;
            }
        });
    }

    Store& store;
    Leadership<Store>& leadership;
    JobBoard& board;
    std::shared_ptr<bool> alive;
    bool isUnderWay = false;
    bool hasLoaded = false;
    std::int64_t revision = 0;
    /// The stored workers and their births.
    std::map<WorkerId, std::int64_t> recorded;
};

} // namespace Greengage
