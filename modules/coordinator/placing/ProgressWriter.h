#pragma once

#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/EndedJob.h>
#include <core/time/UnixClock.h>
#include <jobs/board/JobBoard.h>
#include <jobs/codec/JobProgressCodec.h>

#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace Greengage {

/// Stores what the board knows and the store does not: progress of open jobs, and jobs that have ended. Writes go out
/// in groups, one after the other, under the condition that this daemon still holds the leadership. Workers may forget
/// their ends only once all that was known when a round began is stored.
template <SharedStore Store> class ProgressWriter {
public:
    /// `stored` is told each job whose progress has been stored, `recorded` that a round of writes is over.
    ProgressWriter(Store& store, Leadership<Store>& leadership, JobBoard& board, std::function<void(JobRow&)> stored,
        std::function<void()> recorded)
        : store(store)
        , leadership(leadership)
        , board(board)
        , stored(std::move(stored))
        , recorded(std::move(recorded))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~ProgressWriter() { *this->alive = false; }

    ProgressWriter(const ProgressWriter&) = delete;
    ProgressWriter& operator=(const ProgressWriter&) = delete;

    /// From now on answers that are still to come change nothing.
    void close() { *this->alive = false; }

    /// Begins a round of writes. If one is under way, another one follows it.
    void flush()
    {
        if (this->isUnderWay) {
            this->isWantedAgain = true;
            return;
        }
        this->isUnderWay = true;
        this->isWantedAgain = false;
        this->endsAtStart.clear();
        for (const auto& [id, worker] : this->board.workers)
            this->endsAtStart.emplace(id, worker.endsSeen);
        this->queue.assign(this->board.unrecorded.begin(), this->board.unrecorded.end());
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
        while (!this->queue.empty() && commit.rows() + rowsOfOneJob <= KvCommit::maxRows) {
            this->add(commit, writes, this->queue.front());
            this->queue.pop_front();
        }
        if (writes.empty()) {
            this->finishRound();
            return;
        }
        Instant sentAt = BootClock::now();
        this->store.commit(
            std::move(commit), [this, alive = this->alive, writes = std::move(writes), sentAt](auto result) {
                if (*alive)
                    this->take(writes, sentAt, std::move(result));
            });
    }

    /// Expectation, put and up to three removals.
    static constexpr std::size_t rowsOfOneJob = 5;

    void add(KvCommit& commit, std::vector<Write>& writes, const JobId& id)
    {
        auto found = this->board.jobs.find(id);
        if (found == this->board.jobs.end()) {
            this->board.unrecorded.erase(id);
            return;
        }
        JobRow& job = found->second;
        this->board.unrecorded.erase(id);
        if (!job.hasEnded()) {
            commit.expected.emplace_back(StoreKeys::progress(id), job.progressRevision);
            commit.puts.emplace_back(StoreKeys::progress(id), this->progressCodec.encode(this->board.progressOf(job)));
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
        this->board.forEachAttempt(job, [](WorkerRow&, Attempt& attempt) {
            if (attempt.phase == AttemptPhase::Planned)
                attempt.phase = AttemptPhase::Recording;
        });
    }

    void take(const std::vector<Write>& writes, Instant sentAt, Result<KvCommitResult, KvFailure> result)
    {
        if (!this->leadership.isHolder()) {
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
            this->takeConflict(writes, result.value());
            return;
        }
        this->leadership.confirm(sentAt);
        for (const auto& write : writes) {
            auto job = this->board.jobs.find(write.job);
            if (job == this->board.jobs.end())
                continue;
            if (write.isEnd)
                this->forget(job->second);
            else {
                job->second.progressRevision = result.value().revision;
                this->stored(job->second);
            }
        }
        this->writeNext();
    }

    void takeConflict(const std::vector<Write>& writes, const KvCommitResult& result)
    {
        auto [holderKey, token] = this->leadership.condition();
        if (result.currentRevision(holderKey) != token) {
            this->isUnderWay = false;
            this->leadership.stepDown("a write was refused");
            return;
        }
        // A write whose answer was lost had been done.
        for (const auto& write : writes) {
            auto job = this->board.jobs.find(write.job);
            if (job == this->board.jobs.end())
                continue;
            if (!write.isEnd)
                job->second.progressRevision = result.currentRevision(StoreKeys::progress(write.job));
            else if (result.currentRevision(StoreKeys::job(write.job)) == 0)
                this->forget(job->second);
        }
        this->retry(writes);
    }

    void retry(const std::vector<Write>& writes)
    {
        for (const auto& write : writes) {
            if (auto job = this->board.jobs.find(write.job); job != this->board.jobs.end())
                this->board.markUnrecorded(job->second);
        }
        this->isUnderWay = false;
    }

    void forget(JobRow& job)
    {
        writeLog(LogLevel::Info,
            LogLine("job_ended")
                .add("job", job.record.id.string())
                .add("queue", job.record.queue.string())
                .add("team", job.record.team.string())
                .add("state", nameOf(job.state))
                .add("after_ms", unixMilliseconds() - job.record.receivedUnixMs));
        this->board.forgetJob(job.record.id);
    }

    void finishRound()
    {
        this->isUnderWay = false;
        for (const auto& [id, ends] : this->endsAtStart) {
            if (auto* worker = this->board.findWorker(id))
                worker->endsRecorded = std::max(worker->endsRecorded, std::min(ends, worker->endsSeen));
        }
        this->recorded();
        if (this->isWantedAgain && !this->board.unrecorded.empty())
            this->flush();
    }

    Store& store;
    Leadership<Store>& leadership;
    JobBoard& board;
    std::function<void(JobRow&)> stored;
    std::function<void()> recorded;
    std::shared_ptr<bool> alive;
    JobProgressCodec progressCodec;
    bool isUnderWay = false;
    bool isWantedAgain = false;
    std::deque<JobId> queue;
    std::unordered_map<WorkerId, std::uint64_t> endsAtStart;
};

} // namespace Greengage
