#include <jobs/systems/JobObjective.h>

#include <jobs/board/JobRow.h>
#include <jobs/model/QueuePolicy.h>

#include <algorithm>
#include <vector>

namespace Greengage {

namespace {

/// The longest chain of estimated work through the steps; steps that are done count nothing if `onlyOpen`.
std::int64_t longestChainMs(const JobSpec& spec, const OccurrenceRow& occurrence, bool onlyOpen)
{
    std::vector<std::int64_t> endMs(spec.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        std::int64_t start = 0;
        for (auto earlier : spec.steps[index].after)
            start = std::max(start, endMs[earlier]);
        bool counts = !onlyOpen || !occurrence.steps[index].isDone();
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
    auto open = std::find_if(occurrences.begin(), occurrences.end(),
        [](const OccurrenceRow& occurrence) { return occurrence.doneSteps < occurrence.steps.size(); });
    const OccurrenceRow& occurrence = open == occurrences.end() ? occurrences.front() : *open;
    std::int64_t beginsUnixMs = std::max(job.record.receivedUnixMs, occurrence.dueUnixMs);
    auto whole = static_cast<double>(longestChainMs(spec, occurrence, false));
    this->onTimeByUnixMs = beginsUnixMs + queue.slack.count() + static_cast<std::int64_t>(queue.stretch * whole);
    this->remainingMs = longestChainMs(spec, occurrence, true);
}

} // namespace Greengage
