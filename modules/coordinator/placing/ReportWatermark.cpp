#include <coordinator/placing/ReportWatermark.h>

#include <jobs/tables/JobTables.h>

#include <algorithm>

namespace Greengage {

void ReportWatermark::begin(const std::set<JobId>& unsaved, const std::vector<JobId>& underWay)
{
    this->hasBegun = true;
    for (const auto& id : underWay)
        this->jobs[id] = Phase::UnderWay;
    // A job that has changed since its write began is in both lists, and needs a further write.
    for (const auto& id : unsaved)
        this->jobs[id] = Phase::Unsaved;
    for (const auto& [id, worker] : this->tables.workers)
        this->appliedEnds[id] = { worker.info.incarnationUnixMs, worker.appliedEnds };
}

void ReportWatermark::beginWrite(const JobId& id)
{
    if (auto job = this->jobs.find(id); job != this->jobs.end())
        job->second = Phase::UnderWay;
}

void ReportWatermark::endWrite(const JobId& id)
{
    auto job = this->jobs.find(id);
    if (job != this->jobs.end() && job->second == Phase::UnderWay)
        this->jobs.erase(job);
}

void ReportWatermark::repeatWrite(const JobId& id)
{
    if (auto job = this->jobs.find(id); job != this->jobs.end())
        job->second = Phase::Unsaved;
}

void ReportWatermark::remove(const JobId& id) { this->jobs.erase(id); }

bool ReportWatermark::advance()
{
    if (!this->hasBegun || !this->jobs.empty())
        return false;
    for (const auto& [id, ends] : this->appliedEnds) {
        auto* worker = this->tables.findWorker(id);
        if (worker && worker->info.incarnationUnixMs == ends.incarnationUnixMs)
            worker->storedEnds = std::max(worker->storedEnds, std::min(ends.number, worker->appliedEnds));
    }
    this->appliedEnds.clear();
    this->hasBegun = false;
    return true;
}

} // namespace Greengage
