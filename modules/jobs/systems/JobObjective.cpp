#include <jobs/systems/JobObjective.h>

#include <jobs/model/QueuePolicy.h>
#include <jobs/tables/JobRow.h>

#include <algorithm>
#include <vector>

namespace Greengage {

namespace {

/// Returns the length of the critical path through the steps, by their estimates. If `onlyUnfinished`, steps that are
/// done count as zero.
std::int64_t criticalPathMs(const JobSpec& spec, const OccurrenceRow& occurrence, bool onlyUnfinished)
{
    std::vector<std::int64_t> endMs(spec.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        std::int64_t start = 0;
        for (auto earlier : spec.steps[index].after)
            start = std::max(start, endMs[earlier]);
        bool counts = !onlyUnfinished || !occurrence.steps[index].isDone();
        endMs[index] = start + (counts ? spec.steps[index].estimate.count() : 0);
        longest = std::max(longest, endMs[index]);
    }
    return longest;
}

} // namespace

JobObjective::JobObjective(const JobRow& job, const QueuePolicy& queue)
{
    const JobSpec& spec = job.record.spec;
    const auto& occurrences = job.occurrences;
    auto unfinished = std::find_if(occurrences.begin(), occurrences.end(),
        [](const OccurrenceRow& occurrence) { return occurrence.doneSteps < occurrence.steps.size(); });
    const OccurrenceRow& occurrence = unfinished == occurrences.end() ? occurrences.front() : *unfinished;
    std::int64_t startUnixMs = std::max(job.record.receivedUnixMs, occurrence.dueUnixMs);
    auto totalMs = static_cast<double>(criticalPathMs(spec, occurrence, false));
    this->deadlineUnixMs = startUnixMs + queue.slack.count() + static_cast<std::int64_t>(queue.stretch * totalMs);
    this->remainingMs = criticalPathMs(spec, occurrence, true);
}

} // namespace Greengage
