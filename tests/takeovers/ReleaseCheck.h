#pragma once

#include <coordinator/tests/FakeWorkers.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Greengage {

/// Checks, whenever a task is ordered to start, that no earlier run of it runs on any worker of the model, nor can
/// still be started by an order that is under way, so that whatever released that run was right.
class ReleaseCheck {
public:
    struct Count {
        std::size_t starts = 0;
        /// An earlier run was alive, or could be.
        std::size_t wrong = 0;
        /// The same by an order that is carried out late, before a leader in office has renewed the incarnation.
        std::size_t beforeTheFirstRenewal = 0;
    };

    /// `isGone` tells whether a worker has ended for good, `isInOffice` whether no later leader than that of the token
    /// has begun.
    ReleaseCheck(FakeWorkers& workers, std::function<bool(const WorkerId&)> isGone,
        std::function<bool(std::int64_t token)> isInOffice)
        : workers(workers)
        , isGone(std::move(isGone))
        , isInOffice(std::move(isInOffice))
    {
    }

    /// Notes that a start order reaches the worker only at `arrival`.
    void noteUnderWay(const WorkerId&, const StartAttempt&, Instant arrival);

    /// Notes that a start order has arrived late.
    void noteLateArrival(const WorkerId&, const StartAttempt&);

    /// Notes that a renewal has arrived in time.
    void noteRenewal(const WorkerId&, std::int64_t token);

    /// Checks an order that is about to be sent. `reason` names what released the task's earlier run. Returns what is
    /// wrong.
    std::optional<std::string> check(const WorkerId&, const StartAttempt&, const std::string& reason);

    /// By the reasons of the releases.
    std::map<std::string, Count> counts;

private:
    struct UnderWay {
        WorkerId worker;
        StartAttempt order;
        Instant arrival;
    };

    /// Whether a leader in office has renewed the worker's incarnation.
    bool isKnown(const WorkerId&) const;
    /// Whether the worker would carry the order out, as far as it is known now.
    bool canStart(const UnderWay&) const;

    FakeWorkers& workers;
    std::function<bool(const WorkerId&)> isGone;
    std::function<bool(std::int64_t token)> isInOffice;
    std::map<TaskName, std::vector<UnderWay>> underWay;
    std::map<TaskName, std::uint32_t> latestRuns;
    /// The incarnations that leaders in office have renewed.
    std::set<std::pair<WorkerId, std::int64_t>> known;
    /// Runs that began by an order that came late to an incarnation that is not known.
    std::set<std::tuple<WorkerId, TaskName, std::uint32_t>> lateStarts;
};

} // namespace Greengage
