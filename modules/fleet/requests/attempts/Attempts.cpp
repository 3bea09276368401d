#include <fleet/requests/attempts/Attempts.h>

#include <algorithm>
#include <fleet/requests/dispatch/EndpointSelection.h>
#include <fleet/requests/messages/RunningReported.h>
#include <fleet/requests/tables/RequestLifecycle.h>
#include <fleet/requests/tables/RequestTables.h>
#include <set>

namespace Greengage {

namespace {

/// Most attempts for one request.
constexpr int maxAttempts = 4;
/// How often an endpoint with unknown work is asked what it runs.
constexpr Milliseconds askInterval { 500 };

} // namespace

Attempts::Attempts(Tick& tick)
    : tick(tick)
{
}

void Attempts::take(const AttemptEnded& ended)
{
    auto& requests = this->tick.tables.requests;
    auto found = requests.find(ended.request);
    if (found == requests.end())
        return;
    auto& row = found->second;
    if (row.stage != RequestStage::Sent || row.attempts != ended.attempt)
        return;
    RequestLifecycle lifecycle(this->tick);
    switch (ended.result) {
    case AttemptResult::Answered:
        this->tick.tables.runTimes[row.queue].add(this->tick.now - row.sentAt);
        lifecycle.release(row);
        lifecycle.finish(row, Outcome::Answered, OutcomeReason::None);
        return;
    case AttemptResult::NotSent:
    case AttemptResult::Refused:
        lifecycle.release(row);
        this->retryUnsent(row, OutcomeReason::EndpointsRefused);
        return;
    case AttemptResult::Broken:
        this->afterLoss(row, OutcomeReason::ConnectionBroken);
        return;
    case AttemptResult::Silent:
        this->tick.tables.runTimes[row.queue].addUnanswered(this->tick.now - row.sentAt);
        this->afterLoss(row, OutcomeReason::AnswerTimedOut);
        return;
    }
}

void Attempts::retryUnsent(RequestRow& row, OutcomeReason reason)
{
    RequestLifecycle lifecycle(this->tick);
    row.tried.insert(row.endpoint);
    lifecycle.requeue(row);
    bool mayRetry = row.attempts < maxAttempts && !row.callerLeft && !row.deadline.hasPassed(this->tick.now);
    if (!mayRetry || !EndpointSelection(this->tick).hasCandidate(row))
        lifecycle.refuse(row, reason);
}

void Attempts::afterLoss(RequestRow& row, OutcomeReason reason)
{
    RequestLifecycle lifecycle(this->tick);
    lifecycle.holdAsUnknown(row);
    if (row.idempotent)
        return this->retryUnsent(row, reason);
    lifecycle.finish(row, Outcome::Unknown, reason);
}

void Attempts::take(const RunningReported& report)
{
    auto isGone = [&](const UnknownWork& work) {
        if (work.endpoint != report.endpoint || report.askedAt < work.settlesAfter)
            return false;
        return std::none_of(report.running.begin(), report.running.end(),
            [&](const RunningWork& running) { return running.request == work.request; });
    };
    auto& unknown = this->tick.tables.unknownWork;
    for (const auto& work : unknown) {
        if (isGone(work))
            RequestLifecycle(this->tick).release(work);
    }
    std::erase_if(unknown, isGone);
}

void Attempts::settleUnknown()
{
    auto& tables = this->tick.tables;
    auto isUnlisted = [&](const UnknownWork& work) {
        auto found = tables.endpoints.find(work.endpoint);
        bool listed = found != tables.endpoints.end() && found->second.listed;
        return !listed && this->tick.now >= work.settlesAfter;
    };
    for (const auto& work : tables.unknownWork) {
        if (isUnlisted(work))
            RequestLifecycle(this->tick).release(work);
    }
    std::erase_if(tables.unknownWork, isUnlisted);
    std::set<VmId> endpoints;
    for (const auto& work : tables.unknownWork)
        endpoints.insert(work.endpoint);
    for (const auto& id : endpoints) {
        auto found = tables.endpoints.find(id);
        if (found == tables.endpoints.end() || !found->second.askAgainAt.hasPassed(this->tick.now))
            continue;
        found->second.askAgainAt = Deadline::after(this->tick.now, askInterval);
        this->tick.outbox.emplace_back(AskRunning { id, found->second.address, found->second.port });
    }
}

} // namespace Greengage
