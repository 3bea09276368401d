#pragma once

#include <coordinator/leadership/StoreKeys.h>
#include <coordinator/store/KvListing.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/UnixClock.h>
#include <jobs/board/JobBoard.h>
#include <jobs/codec/JobProgressCodec.h>
#include <jobs/codec/JobRecordCodec.h>

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace Greengage {

/// Brings the stored jobs, their progress and their cancellations to the board.
class JobIntake {
public:
    /// `arrived` is told each job that is new on the board.
    JobIntake(JobBoard& board, std::function<void(const JobRow&)> arrived)
        : board(board)
        , arrived(std::move(arrived))
    {
    }

    /// Whether all jobs that were stored at the beginning are on the board.
    bool isLoaded() const { return this->hasLoaded; }

    /// Takes in a listing of the jobs' keys, or their changes.
    void take(const KvListing&);

    /// Binds tasks that an earlier holder placed to their workers. To be called once the workers are known.
    void inheritPlacements(Instant now);

private:
    void takeJob(const JobId&, const KvItem&, const JobProgress&, std::int64_t progressRevision);
    void takeCancellation(const JobId&);

    JobBoard& board;
    std::function<void(const JobRow&)> arrived;
    JobRecordCodec recordCodec;
    JobProgressCodec progressCodec;
    bool hasLoaded = false;
    /// Tasks that an earlier holder placed, until the workers are known as well.
    std::map<JobId, std::map<TaskName, TaskPlacement>> inherited;
};

} // namespace Greengage
