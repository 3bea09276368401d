#include <tests/takeovers/ReleaseCheck.h>

namespace Greengage {

void ReleaseCheck::noteUnderWay(const WorkerId& worker, const StartAttempt& order, Instant arrival)
{
    this->underWay[order.task].push_back({ worker, order, arrival });
}

void ReleaseCheck::noteLateArrival(const WorkerId& worker, const StartAttempt& order)
{
    if (!this->isKnown(worker))
        this->lateStarts.emplace(worker, order.task, order.run);
}

void ReleaseCheck::noteRenewal(const WorkerId& worker, std::int64_t token)
{
    if (this->isInOffice(token))
        this->known.emplace(worker, this->workers.workers[worker].incarnationUnixMs);
}

bool ReleaseCheck::isKnown(const WorkerId& worker) const
{
    return this->known.contains({ worker, this->workers.workers[worker].incarnationUnixMs });
}

std::optional<std::string> ReleaseCheck::check(
    const WorkerId& target, const StartAttempt& order, const std::string& reason)
{
    std::uint32_t& latest = this->latestRuns[order.task];
    std::uint32_t earlier = std::exchange(latest, std::max(latest, order.run));
    // A repetition of an order, or the first one of the task.
    if (!earlier || order.run <= earlier)
        return std::nullopt;
    Count& count = this->counts[reason];
    count.starts += 1;
    std::string wrong;
    bool isBeforeRenewal = false;
    auto note = [&wrong, &isBeforeRenewal](bool isBeforeTheFirstRenewal, const std::string& what) {
        isBeforeRenewal = isBeforeRenewal || isBeforeTheFirstRenewal;
        wrong = isBeforeTheFirstRenewal ? wrong : what;
    };
    for (auto& [id, worker] : this->workers.workers) {
        this->workers.endDueTasks(worker);
        if (auto found = worker.running.find(order.task); found != worker.running.end())
            note(!this->isKnown(id) && this->lateStarts.contains({ id, order.task, found->second.run }),
                "run " + std::to_string(found->second.run) + " runs at " + id.string());
    }
    auto& late = this->underWay[order.task];
    std::erase_if(late, [now = BootClock::now()](const UnderWay& sent) { return sent.arrival < now; });
    for (const auto& sent : late) {
        if (sent.order.run < order.run && this->canStart(sent))
            note(!this->isKnown(sent.worker),
                "an order of run " + std::to_string(sent.order.run) + " is under way to " + sent.worker.string());
    }
    count.wrong += wrong.empty() ? 0 : 1;
    if (wrong.empty() && isBeforeRenewal)
        count.beforeTheFirstRenewal += 1;
    if (wrong.empty())
        return std::nullopt;
    return order.task.text() + " run " + std::to_string(order.run) + " for " + target.string() + ": released by "
        + reason + " while " + wrong;
}

bool ReleaseCheck::canStart(const UnderWay& sent) const
{
    const auto& worker = this->workers.workers[sent.worker];
    const auto& order = sent.order;
    auto ended = worker.endedRuns.find(order.task);
    bool hasEnded = ended != worker.endedRuns.end() && order.run <= ended->second;
    std::int64_t travelMs = std::chrono::duration_cast<Milliseconds>(sent.arrival - BootClock::now()).count();
    std::int64_t clockAtArrival = FakeWorkers::clockOf(worker) + travelMs * worker.clockPercent / 100;
    return !this->isGone(sent.worker) && order.fencingToken >= worker.fence && order.validUntilClockMs >= clockAtArrival
        && !hasEnded && !worker.stopped.contains({ order.task, order.run });
}

} // namespace Greengage
