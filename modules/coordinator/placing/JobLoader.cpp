#include <coordinator/placing/JobLoader.h>

#include <core/errors/ErrorBoundary.h>

#include <optional>
#include <set>

namespace Greengage {

namespace {

/// The job that a key belongs to, and the suffix that names the part of the job: empty for the job itself.
std::pair<JobId, std::string> splitKey(const std::string& key)
{
    std::string rest = key.substr(std::string_view(StoreKeys::jobs).size());
    auto slash = rest.find('/');
    if (slash == std::string::npos)
        return { JobId(rest), "" };
    return { JobId(rest.substr(0, slash)), rest.substr(slash + 1) };
}

} // namespace

void JobLoader::handleListing(const KvListing& listing)
{
    // A job is added with its progress, and before its cancellation, whatever the order of the keys.
    std::map<JobId, JobProgress> progress;
    std::map<JobId, std::int64_t> progressRevisions;
    std::set<JobId> unreadable;
    for (const auto& item : listing.items) {
        auto [job, part] = splitKey(item.key);
        // The watch also returns what this daemon has written itself.
        if (part != "progress" || item.isRemoved || this->tables.jobs.contains(job))
            continue;
        std::optional<JobProgress> decoded;
        ErrorBoundary::run(ErrorEffect::ItemOnly, WorkKind::StoreEntry, item.key,
            [&, &id = job] { decoded = this->progressCodec.decode(id, item.value); });
        if (!decoded) {
            writeLog(LogLevel::Error, LogLine("stored_progress_unreadable").add("job", job.string()));
            unreadable.insert(job);
            continue;
        }
        progress[job] = std::move(*decoded);
        progressRevisions[job] = item.revision;
    }
    for (const auto& item : listing.items) {
        auto [id, part] = splitKey(item.key);
        // Without its progress, tasks of the job that are done would run again.
        if (part.empty() && !item.isRemoved && !unreadable.contains(id))
            this->addJob(id, item, progress[id], progressRevisions[id]);
    }
    for (const auto& item : listing.items) {
        auto [id, part] = splitKey(item.key);
        if (part == "cancel" && !item.isRemoved)
            this->applyCancellation(id);
    }
    this->hasLoaded = true;
}

void JobLoader::addJob(const JobId& id, const KvItem& item, const JobProgress& progress, std::int64_t progressRevision)
{
    JobTables& tables = this->tables;
    if (tables.jobs.contains(id) || tables.removedJobs.contains(id))
        return;
    std::optional<JobRecord> record;
    ErrorBoundary::run(
        ErrorEffect::ItemOnly, WorkKind::StoreEntry, item.key, [&] { record = this->recordCodec.decode(item.value); });
    if (!record || record->id != id) {
        writeLog(LogLevel::Error, LogLine("stored_job_unreadable").add("job", id.string()));
        return;
    }
    writeLog(LogLevel::Info,
        LogLine("job_loaded")
            .add("job", id.string())
            .add("queue", record->queue.string())
            .add("team", record->team.string())
            .add("revision", item.revision)
            .add("placed_tasks", progress.placements.size())
            .add("done_tasks", progress.done.size())
            .add("age_ms", unixMilliseconds() - record->receivedUnixMs));
    WorkScope scope(WorkKind::Job, id.string());
    tables.addJob(std::move(*record), progress);
    JobRow& job = tables.jobs.at(id);
    job.recordRevision = item.revision;
    job.progressRevision = progressRevision;
    if (!progress.placements.empty())
        this->inherited.emplace(id, progress.placements);
    this->onJobAdded(job);
}

void JobLoader::applyCancellation(const JobId& id)
{
    JobTables& tables = this->tables;
    auto job = tables.jobs.find(id);
    if (job == tables.jobs.end() || job->second.hasEnded())
        return;
    writeLog(
        LogLevel::Info, LogLine("job_cancelled").add("job", id.string()).add("active_tasks", job->second.activeTasks));
    tables.endJob(job->second, JobState::Cancelled);
}

void JobLoader::restorePlacements(Instant now)
{
    for (const auto& [id, placements] : this->inherited) {
        if (auto job = this->tables.jobs.find(id); job != this->tables.jobs.end())
            this->tables.restorePlacements(job->second, placements, now);
        this->logInherited(placements, now);
    }
    this->inherited.clear();
}

void JobLoader::logInherited(const std::map<TaskName, TaskPlacement>& placements, Instant now) const
{
    for (const auto& [task, placement] : placements) {
        const StepSpec* step = this->tables.findStep(task);
        const WorkerRow* worker = this->tables.findWorker(placement.worker);
        if (!step || !step->longRunning || !worker)
            continue;
        auto attempt = worker->attempts.find(task);
        if (attempt == worker->attempts.end())
            continue;
        writeLog(LogLevel::Info,
            LogLine("placement_inherited")
                .add("task", task.text())
                .add("run", placement.run)
                .add("worker", placement.worker.string())
                .add("settled", placement.isSettled)
                .add("listed", placement.wasListed)
                .add(
                    "order_age_ms", std::chrono::duration_cast<Milliseconds>(now - attempt->second.orderedAt).count()));
    }
}

} // namespace Greengage
