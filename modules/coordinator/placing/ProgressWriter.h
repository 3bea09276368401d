#pragma once

#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/EndedJob.h>
#include <core/time/UnixClock.h>
#include <jobs/codec/JobProgressCodec.h>
#include <jobs/tables/JobTables.h>

#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace Greengage {

/// Stores what the job tables hold and the store does not: progress of open jobs, and jobs that have ended. Commits are
/// sent one after the other, under the condition that this daemon is still the leader. Workers may forget the ends that
/// they reported only once a flush that began after the report is complete.
template <SharedStore Store> class ProgressWriter {
public:
    /// `onStored` is called with each open job whose progress has been stored, `onFlushed` when a flush is complete.
    ProgressWriter(Store& store, Leadership<Store>& leadership, JobTables& tables,
        std::function<void(JobRow&)> onStored, std::function<void()> onFlushed)
        : store(store)
        , leadership(leadership)
        , tables(tables)
        , onStored(std::move(onStored))
        , onFlushed(std::move(onFlushed))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~ProgressWriter() { *this->alive = false; }

    ProgressWriter(const ProgressWriter&) = delete;
    ProgressWriter& operator=(const ProgressWriter&) = delete;

    /// Ignores all answers that arrive from now on.
    void close() { *this->alive = false; }

    /// Stores all jobs with unsaved changes. If a flush is under way, another one follows it.
    void flush()
    {
        if (this->isUnderWay) {
            this->isFlushPending = true;
            return;
        }
        this->isUnderWay = true;
        this->isFlushPending = false;
        this->endsAtFlushStart.clear();
        for (const auto& [id, worker] : this->tables.workers)
            this->endsAtFlushStart.emplace(id, worker.appliedEnds);
        this->queue.assign(this->tables.unsavedJobs.begin(), this->tables.unsavedJobs.end());
        this->writeNext();
    }

private:
    struct Write {
        JobId job;
        bool isEnd = false;
    };

    void writeNext()
    {
        KvCommit commit;
        commit.expected.push_back(this->leadership.condition());
        std::vector<Write> writes;
        while (!this->queue.empty() && commit.rows() + maxRowsPerJob <= KvCommit::maxRows) {
            this->add(commit, writes, this->queue.front());
            this->queue.pop_front();
        }
        if (writes.empty()) {
            this->finishFlush();
            return;
        }
        Instant sentAt = BootClock::now();
        this->store.commit(
            std::move(commit), [this, alive = this->alive, writes = std::move(writes), sentAt](auto result) {
                if (*alive)
                    this->handleResult(writes, sentAt, std::move(result));
            });
    }

    /// Expectation, put and up to three removals.
    static constexpr std::size_t maxRowsPerJob = 5;

    void add(KvCommit& commit, std::vector<Write>& writes, const JobId& id)
    {
        auto found = this->tables.jobs.find(id);
        if (found == this->tables.jobs.end()) {
            this->tables.unsavedJobs.erase(id);
            return;
        }
        JobRow& job = found->second;
        this->tables.unsavedJobs.erase(id);
        if (!job.hasEnded()) {
            commit.expected.emplace_back(StoreKeys::progress(id), job.progressRevision);
            commit.puts.emplace_back(StoreKeys::progress(id), this->progressCodec.encode(this->tables.progressOf(job)));
            this->markRecording(job);
            writes.push_back({ id, false });
            return;
        }
        commit.expected.emplace_back(StoreKeys::job(id), job.recordRevision);
        commit.puts.emplace_back(StoreKeys::end(id), EndedJob { job.state, unixMilliseconds() }.encode());
        commit.removals.push_back(StoreKeys::job(id));
        if (job.progressRevision)
            commit.removals.push_back(StoreKeys::progress(id));
        if (job.state == JobState::Cancelled)
            commit.removals.push_back(StoreKeys::cancellation(id));
        writes.push_back({ id, true });
    }

    void markRecording(JobRow& job)
    {
        this->tables.forEachAttempt(job, [](WorkerRow&, Attempt& attempt) {
            if (attempt.phase == AttemptPhase::Planned)
                attempt.phase = AttemptPhase::Recording;
        });
    }

    void handleResult(const std::vector<Write>& writes, Instant sentAt, Result<KvCommitResult, KvFailure> result)
    {
        if (!this->leadership.isLeader()) {
            this->isUnderWay = false;
            return;
        }
        if (!result.has_value()) {
            writeLog(LogLevel::Warning,
                LogLine("progress_not_stored").add("reason", nameOf(result.error())).add("jobs", writes.size()));
            this->retry(writes);
            return;
        }
        if (!result.value().isCommitted) {
            this->handleConflict(writes, result.value());
            return;
        }
        this->leadership.confirm(sentAt);
        for (const auto& write : writes) {
            auto job = this->tables.jobs.find(write.job);
            if (job == this->tables.jobs.end())
                continue;
            if (write.isEnd)
                this->removeJob(job->second);
            else {
                job->second.progressRevision = result.value().revision;
                this->onStored(job->second);
            }
        }
        this->writeNext();
    }

    void handleConflict(const std::vector<Write>& writes, const KvCommitResult& result)
    {
        auto [leaderKey, token] = this->leadership.condition();
        if (result.currentRevision(leaderKey) != token) {
            this->isUnderWay = false;
            this->leadership.stepDown("a write was refused: the leader has changed");
            return;
        }
        // An earlier write, whose answer was lost, may have been applied.
        for (const auto& write : writes) {
            auto job = this->tables.jobs.find(write.job);
            if (job == this->tables.jobs.end())
                continue;
            if (!write.isEnd)
                job->second.progressRevision = result.currentRevision(StoreKeys::progress(write.job));
            else if (result.currentRevision(StoreKeys::job(write.job)) == 0)
                this->removeJob(job->second);
        }
        this->retry(writes);
    }

    void retry(const std::vector<Write>& writes)
    {
        for (const auto& write : writes) {
            if (auto job = this->tables.jobs.find(write.job); job != this->tables.jobs.end())
                this->tables.markUnsaved(job->second);
        }
        this->isUnderWay = false;
    }

    void removeJob(JobRow& job)
    {
        writeLog(LogLevel::Info,
            LogLine("job_ended")
                .add("job", job.record.id.string())
                .add("queue", job.record.queue.string())
                .add("team", job.record.team.string())
                .add("state", nameOf(job.state))
                .add("after_ms", unixMilliseconds() - job.record.receivedUnixMs));
        this->tables.removeJob(job.record.id);
    }

    void finishFlush()
    {
        this->isUnderWay = false;
        for (const auto& [id, ends] : this->endsAtFlushStart) {
            if (auto* worker = this->tables.findWorker(id))
                worker->storedEnds = std::max(worker->storedEnds, std::min(ends, worker->appliedEnds));
        }
        this->onFlushed();
        if (this->isFlushPending && !this->tables.unsavedJobs.empty())
            this->flush();
    }

    Store& store;
    Leadership<Store>& leadership;
    JobTables& tables;
    std::function<void(JobRow&)> onStored;
    std::function<void()> onFlushed;
    std::shared_ptr<bool> alive;
    JobProgressCodec progressCodec;
    bool isUnderWay = false;
    bool isFlushPending = false;
    std::deque<JobId> queue;
    std::unordered_map<WorkerId, std::uint64_t> endsAtFlushStart;
};

} // namespace Greengage
