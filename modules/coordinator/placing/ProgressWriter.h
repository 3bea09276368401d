#pragma once

#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/EndedJob.h>
#include <coordinator/placing/ReportWatermark.h>
#include <core/errors/WorkScope.h>
#include <core/time/UnixClock.h>
#include <jobs/codec/JobProgressCodec.h>
#include <jobs/tables/JobTables.h>

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Greengage {

/// Stores what the job tables hold and the store does not: progress of open jobs, and jobs that have ended. Several
/// commits are under way at a time, each under the condition that this daemon is still the leader and each for jobs of
/// its own, so that a lost answer holds up no other job. A write is confirmed by its answer or by the watch of the
/// jobs, whichever shows it first.
template <SharedStore Store> class ProgressWriter {
public:
    /// `onStored` is called with each open job whose progress has been stored, `onReportsStored` when workers may
    /// forget further ends that they reported.
    ProgressWriter(Store& store, Leadership<Store>& leadership, JobTables& tables,
        std::function<void(JobRow&)> onStored, std::function<void()> onReportsStored)
        : store(store)
        , leadership(leadership)
        , tables(tables)
        , watermark(tables)
        , onStored(std::move(onStored))
        , onReportsStored(std::move(onReportsStored))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~ProgressWriter() { *this->alive = false; }

    ProgressWriter(const ProgressWriter&) = delete;
    ProgressWriter& operator=(const ProgressWriter&) = delete;

    /// Ignores all answers that arrive from now on.
    void close() { *this->alive = false; }

    /// Stores all jobs with unsaved changes. Those whose last write is still under way, or that exceed the commits
    /// under way, follow as soon as they can.
    void flush()
    {
        if (!this->leadership.isLeader())
            return;
        if (!this->watermark.isUnderWay())
            this->watermark.begin(this->tables.unsavedJobs, this->jobsUnderWay());
        while (this->commitsUnderWay < maxCommits && this->writeNext()) { }
        this->isFlushPending = !this->tables.unsavedJobs.empty();
        this->advanceWatermark();
    }

    /// Confirms a write that the watch of the jobs shows as stored, so that it need not wait for an answer that may be
    /// lost.
    void handleChange(const KvItem& item)
    {
        auto found = this->writeOfKey.find(item.key);
        if (found == this->writeOfKey.end())
            return;
        Write& write = this->writes.at(found->second);
        bool isStored = write.isEnd ? item.isRemoved : !item.isRemoved && item.value == write.text;
        if (!isStored)
            return;
        this->confirm(JobId(found->second), item.revision);
        this->advanceWatermark();
    }

private:
    /// A write of one job that is under way.
    struct Write {
        std::uint64_t commit = 0;
        bool isEnd = false;
        /// The watched key that shows the write, and its text; the record of an ended job is removed.
        std::string key;
        std::string text;
    };

    /// Jobs whose writes share one commit.
    using Batch = std::vector<JobId>;

    /// Bounds the load on the store. With this many, writes go on at full rate while half of the answers are lost.
    static constexpr std::size_t maxCommits = 8;
    /// Expectation, put and up to three removals.
    static constexpr std::size_t maxRowsPerJob = 5;

    /// Sends one commit with as many unsaved jobs as fit. Returns whether there were any.
    bool writeNext()
    {
        KvCommit commit;
        commit.expected.push_back(this->leadership.condition());
        Batch batch;
        auto next = this->tables.unsavedJobs.begin();
        while (next != this->tables.unsavedJobs.end() && commit.rows() + maxRowsPerJob <= KvCommit::maxRows) {
            JobId id = *next;
            if (this->writes.contains(id)) {
                ++next;
                continue;
            }
            next = this->tables.unsavedJobs.erase(next);
            if (this->add(commit, id))
                batch.push_back(id);
            else
                this->watermark.remove(id);
        }
        if (batch.empty())
            return false;
        this->commitsUnderWay += 1;
        this->store.commit(std::move(commit),
            [this, alive = this->alive, batch = std::move(batch), number = this->nextCommit, sentAt = BootClock::now()](
                auto result) {
                if (*alive)
                    this->handleResult(batch, number, sentAt, std::move(result));
            });
        this->nextCommit += 1;
        return true;
    }

    /// Adds the write of a job to a commit. Returns false if the job does not exist any more.
    bool add(KvCommit& commit, const JobId& id)
    {
        auto found = this->tables.jobs.find(id);
        if (found == this->tables.jobs.end())
            return false;
        JobRow& job = found->second;
        WorkScope scope(WorkKind::Job, id.string());
        Write write { this->nextCommit, job.hasEnded(), StoreKeys::job(id), {} };
        if (!write.isEnd) {
            write.key = StoreKeys::progress(id);
            write.text = this->progressCodec.encode(this->tables.progressOf(job));
            commit.expected.emplace_back(write.key, job.progressRevision);
            commit.puts.emplace_back(write.key, write.text);
            this->markRecording(job);
        } else {
            commit.expected.emplace_back(write.key, job.recordRevision);
            commit.puts.emplace_back(StoreKeys::end(id), EndedJob { job.state, unixMilliseconds() }.encode());
            commit.removals.push_back(write.key);
            if (job.progressRevision)
                commit.removals.push_back(StoreKeys::progress(id));
            if (job.state == JobState::Cancelled)
                commit.removals.push_back(StoreKeys::cancellation(id));
        }
        this->watermark.beginWrite(id);
        this->writeOfKey[write.key] = id;
        this->writes[id] = std::move(write);
        return true;
    }

    void markRecording(JobRow& job)
    {
        this->tables.forEachAttempt(job, [](WorkerRow&, Attempt& attempt) {
            if (attempt.phase == AttemptPhase::Planned)
                attempt.phase = AttemptPhase::Recording;
        });
    }

    void handleResult(
        const Batch& batch, std::uint64_t number, Instant sentAt, const Result<KvCommitResult, KvFailure>& result)
    {
        this->commitsUnderWay -= 1;
        if (!this->leadership.isLeader())
            return;
        if (!result.has_value())
            this->handleFailure(batch, number, result.error());
        else if (!result.value().isCommitted)
            this->handleConflict(batch, number, result.value());
        else {
            this->leadership.confirm(sentAt, result.value().revision);
            for (const auto& id : batch) {
                if (this->isUnderWay(id, number))
                    this->confirm(id, result.value().revision);
            }
        }
        if (!this->leadership.isLeader())
            return;
        if (this->isFlushPending)
            this->flush();
        else
            this->advanceWatermark();
    }

    /// Whether the write of a job in this commit has been neither confirmed nor given up.
    bool isUnderWay(const JobId& id, std::uint64_t commit) const
    {
        auto write = this->writes.find(id);
        return write != this->writes.end() && write->second.commit == commit;
    }

    void handleFailure(const Batch& batch, std::uint64_t number, KvFailure failure)
    {
        writeLog(
            LogLevel::Warning, LogLine("progress_not_stored").add("reason", nameOf(failure)).add("jobs", batch.size()));
        for (const auto& id : batch) {
            if (this->isUnderWay(id, number))
                this->retry(id);
        }
        // A store that fails is given a pause: the next flush tries again.
        this->isFlushPending = false;
    }

    void handleConflict(const Batch& batch, std::uint64_t number, const KvCommitResult& result)
    {
        auto [leaderKey, token] = this->leadership.condition();
        if (result.currentRevision(leaderKey) != token) {
            this->leadership.stepDown("a write was refused: the leader has changed");
            return;
        }
        // An earlier write, whose answer was lost, may have been applied.
        for (const auto& id : batch) {
            if (!this->isUnderWay(id, number))
                continue;
            const Write& write = this->writes.at(id);
            const KvItem* current = result.find(write.key);
            if (write.isEnd ? !current : current && current->value == write.text)
                this->confirm(id, current ? current->revision : 0);
            else {
                auto job = this->tables.jobs.find(id);
                if (!write.isEnd && job != this->tables.jobs.end())
                    job->second.progressRevision = current ? current->revision : 0;
                // Tried again at once only with another revision; otherwise the same conflict would follow without a
                // pause.
                this->isFlushPending = this->isFlushPending || !write.isEnd;
                this->retry(id);
            }
        }
    }

    /// The write of a job has been stored.
    void confirm(const JobId& id, std::int64_t revision)
    {
        bool isEnd = this->forget(id);
        this->watermark.endWrite(id);
        auto job = this->tables.jobs.find(id);
        if (job == this->tables.jobs.end())
            return;
        if (isEnd)
            this->removeJob(job->second);
        else {
            job->second.progressRevision = revision;
            this->onStored(job->second);
        }
    }

    /// The write of a job has not been stored, or may not have been.
    void retry(const JobId& id)
    {
        this->forget(id);
        auto job = this->tables.jobs.find(id);
        if (job != this->tables.jobs.end()) {
            this->tables.markUnsaved(job->second);
            this->watermark.repeatWrite(id);
        } else
            this->watermark.remove(id);
    }

    /// Returns whether the write was that of an ended job.
    bool forget(const JobId& id)
    {
        auto write = this->writes.find(id);
        bool isEnd = write->second.isEnd;
        this->writeOfKey.erase(write->second.key);
        this->writes.erase(write);
        return isEnd;
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

    std::vector<JobId> jobsUnderWay() const
    {
        std::vector<JobId> jobs;
        for (const auto& [id, write] : this->writes)
            jobs.push_back(id);
        return jobs;
    }

    void advanceWatermark()
    {
        if (this->watermark.advance())
            this->onReportsStored();
    }

    Store& store;
    Leadership<Store>& leadership;
    JobTables& tables;
    ReportWatermark watermark;
    std::function<void(JobRow&)> onStored;
    std::function<void()> onReportsStored;
    std::shared_ptr<bool> alive;
    JobProgressCodec progressCodec;
    /// Whether unsaved jobs are to be written as soon as a commit ends.
    bool isFlushPending = false;
    std::size_t commitsUnderWay = 0;
    std::uint64_t nextCommit = 1;
    std::unordered_map<JobId, Write> writes;
    /// The job whose write under way each watched key shows.
    std::unordered_map<std::string, JobId> writeOfKey;
};

} // namespace Greengage
