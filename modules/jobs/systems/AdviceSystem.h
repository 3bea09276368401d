#pragma once

#include <core/time/Instant.h>
#include <jobs/model/AdviceAnswer.h>
#include <jobs/model/AdviceRequest.h>

#include <cstdint>
#include <optional>

namespace Greengage {

class JobTables;
struct JobRow;
struct QueuePolicy;
struct StepRow;
struct WorkerRow;

/// Decides for which step and workers the advice service is asked next, and records its answers. Jobs that need advice
/// can arrive faster than the service answers. Therefore the most urgent job comes first, and a request names only
/// workers that could run its tasks now.
class AdviceSystem {
public:
    /// Maximum number of workers in one request. Each worker makes the call longer.
    static constexpr std::size_t maxWorkersPerRequest = 30;
    /// A ticket is not used in this last part of its validity, since a start is stored before its order is sent.
    static constexpr Milliseconds ticketMargin { 300 };
    /// Delay before the service is asked again for a step after a failed call.
    static constexpr Milliseconds retryDelay { 200 };

    explicit AdviceSystem(JobTables& tables)
        : tables(tables)
    {
    }

    /// Returns the most urgent request, if there is one. It counts as pending until `handleAnswer` or
    /// `handleFailure`.
    std::optional<AdviceRequest> nextRequest(Instant now, std::int64_t nowUnixMs);

    void handleAnswer(const AdviceRequest&, const AdviceAnswer&, Instant now);
    void handleFailure(const AdviceRequest&, Instant now);

private:
    std::optional<AdviceRequest> requestFor(JobRow&, const QueuePolicy&, Instant now, std::int64_t nowUnixMs);
    std::vector<WorkerId> selectWorkers(
        const JobRow&, const QueuePolicy&, const TaskName& step, const StepRow&, Instant now) const;
    StepRow* findStep(const TaskName&);

    JobTables& tables;
};

} // namespace Greengage
