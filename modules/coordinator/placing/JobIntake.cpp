#include <coordinator/placing/JobIntake.h>

namespace Greengage {

namespace {

/// The job that a key belongs to, and the part of the job that it holds: empty for the job itself.
std::pair<JobId, std::string> splitKey(const std::string& key)
{
    std::string rest = key.substr(std::string_view(StoreKeys::jobs).size());
    auto slash = rest.find('/');
    if (slash == std::string::npos)
        return { JobId(rest), "" };
    return { JobId(rest.substr(0, slash)), rest.substr(slash + 1) };
}

} // namespace

void JobIntake::take(const KvListing& listing)
{
    // Jobs come before what hangs on them, whatever the order of the keys.
    std::map<JobId, JobProgress> progress;
    std::map<JobId, std::int64_t> progressRevisions;
    for (const auto& item : listing.items) {
        auto [job, part] = splitKey(item.key);
        // What this daemon has written itself comes back too.
        if (part != "progress" || item.isRemoved || this->board.jobs.contains(job))
            continue;
        if (auto decoded = this->progressCodec.decode(job, item.value)) {
            progress[job] = std::move(*decoded);
            progressRevisions[job] = item.revision;
        }
    }
    for (const auto& item : listing.items) {
        auto [id, part] = splitKey(item.key);
        if (part.empty() && !item.isRemoved)
            this->takeJob(id, item, progress[id], progressRevisions[id]);
    }
    for (const auto& item : listing.items) {
        auto [id, part] = splitKey(item.key);
        if (part == "cancel" && !item.isRemoved)
            this->takeCancellation(id);
    }
    this->hasLoaded = true;
}

void JobIntake::takeJob(const JobId& id, const KvItem& item, const JobProgress& progress, std::int64_t progressRevision)
{
    JobBoard& board = this->board;
    if (board.jobs.contains(id) || board.forgotten.contains(id))
        return;
    auto record = this->recordCodec.decode(item.value);
    if (!record || record->id != id) {
        writeLog(LogLevel::Error, LogLine("stored_job_unreadable").add("job", id.string()));
        return;
    }
    writeLog(LogLevel::Info,
        LogLine("job_taken_up")
            .add("job", id.string())
            .add("queue", record->queue.string())
            .add("team", record->team.string())
            .add("revision", item.revision)
            .add("placed_tasks", progress.placements.size())
            .add("done_tasks", progress.done.size())
            .add("age_ms", unixMilliseconds() - record->receivedUnixMs));
    board.addJob(std::move(*record), progress);
    JobRow& job = board.jobs.at(id);
    job.recordRevision = item.revision;
    job.progressRevision = progressRevision;
    if (!progress.placements.empty())
        this->inherited.emplace(id, progress.placements);
    this->arrived(job);
}

void JobIntake::takeCancellation(const JobId& id)
{
    JobBoard& board = this->board;
    auto job = board.jobs.find(id);
    if (job == board.jobs.end() || job->second.hasEnded())
        return;
    writeLog(
        LogLevel::Info, LogLine("job_cancelled").add("job", id.string()).add("active_tasks", job->second.activeTasks));
    board.endJob(job->second, JobState::Cancelled);
}

void JobIntake::inheritPlacements(Instant now)
{
    for (const auto& [id, placements] : this->inherited) {
        if (auto job = this->board.jobs.find(id); job != this->board.jobs.end())
            this->board.inherit(job->second, placements, now);
    }
    this->inherited.clear();
}

} // namespace Greengage
