#pragma once

#include <coordinator/leadership/StoreKeys.h>
#include <coordinator/store/KvListing.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/UnixClock.h>
#include <jobs/codec/JobProgressCodec.h>
#include <jobs/codec/JobRecordCodec.h>
#include <jobs/tables/JobTables.h>

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace Greengage {

/// Loads the stored jobs, their progress and their cancellations into the job tables.
class JobLoader {
public:
    /// `onJobAdded` is called with each job that is new in the tables.
    JobLoader(JobTables& tables, std::function<void(const JobRow&)> onJobAdded)
        : tables(tables)
        , onJobAdded(std::move(onJobAdded))
    {
    }

    /// Whether all jobs that were stored at the beginning are in the job tables.
    bool isLoaded() const { return this->hasLoaded; }

    /// Whether the tasks that an earlier leader placed are bound to their workers.
    bool arePlacementsRestored() const { return this->hasLoaded && this->inherited.empty(); }

    /// Applies a listing of the jobs' keys, or their changes.
    void handleListing(const KvListing&);

    /// Binds tasks that an earlier leader placed to their workers. To be called once the workers are known.
    void restorePlacements(Instant now);

private:
    void addJob(const JobId&, const KvItem&, const JobProgress&, std::int64_t progressRevision);
    void applyCancellation(const JobId&);
    /// Logs the long-running tasks among them, with what their starts rest on.
    void logInherited(const std::map<TaskName, TaskPlacement>&, Instant now) const;

    JobTables& tables;
    std::function<void(const JobRow&)> onJobAdded;
    JobRecordCodec recordCodec;
    JobProgressCodec progressCodec;
    bool hasLoaded = false;
    /// Tasks that an earlier leader placed, kept until the workers are known as well.
    std::map<JobId, std::map<TaskName, TaskPlacement>> inherited;
};

} // namespace Greengage
