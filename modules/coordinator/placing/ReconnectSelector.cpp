#include <coordinator/placing/ReconnectSelector.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Greengage {

std::vector<WorkerId> ReconnectSelector::select(std::vector<Candidate> candidates, Instant now)
{
    if (candidates.empty() || !this->nextCalls.hasPassed(now))
        return {};
    this->nextCalls = Deadline::after(now, period);
    auto count = std::min(candidates.size(), maxCallsPerPeriod);
    auto isBefore = [](const Candidate& left, const Candidate& right) {
        return std::tuple(!left.hasKnownCopy, left.calledAt, left.worker)
            < std::tuple(!right.hasKnownCopy, right.calledAt, right.worker);
    };
    std::partial_sort(
        candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(), isBefore);
    std::vector<WorkerId> selected;
    for (std::size_t index = 0; index < count; ++index)
        selected.push_back(std::move(candidates[index].worker));
    return selected;
}

} // namespace Greengage
