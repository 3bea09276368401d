#pragma once

#include <core/time/Deadline.h>
#include <jobs/board/Attempt.h>
#include <jobs/model/WorkerFacts.h>

#include <cstdint>
#include <map>
#include <utility>

namespace Greengage {

/// What is known of one life of a worker.
struct WorkerRow {
    WorkerFacts facts;
    /// Whether the directory lists the worker.
    bool isListed = true;
    /// Whether the worker is on the stored list of workers that may run tasks.
    bool isRecorded = false;
    /// Whether the worker has answered under the current fencing token, so that all it runs is known.
    bool isReached = false;
    /// The sum of what its attempts occupy.
    Demand occupied;
    std::uint32_t fillingCount = 0;
    std::uint32_t servingCount = 0;
    std::map<TaskName, Attempt> attempts;
    /// Attempts of tasks that are not on the board, which the worker is to stop.
    std::map<std::pair<TaskName, std::uint32_t>, Attempt> strays;
    /// Ends with numbers up to this one have been taken in.
    std::uint64_t endsSeen = 0;
    /// Ends with numbers up to this one are stored, so the worker may forget them.
    std::uint64_t endsRecorded = 0;
    /// All that runs there has ended by then, unless its lease is renewed.
    Deadline leaseOver;
    Instant lastReport;
    /// No new attempts until then.
    Deadline setAsideUntil;
    /// Attempts that failed there since one was last done.
    std::uint32_t failuresInARow = 0;
    /// It left a call without an answer; nothing new starts there until it reports again.
    bool isSuspect = false;
    /// The VM is to be taken down: nothing new starts there, and what lasts moves away.
    bool isEvacuating = false;
    /// The worker's clock at `clockReadAt`.
    std::int64_t clockMs = 0;
    Instant clockReadAt;
};

} // namespace Greengage
