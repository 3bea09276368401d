#include <fleet/requests/attempts/AttemptTracker.h>

#include <algorithm>
#include <fleet/requests/admission/Admission.h>
#include <fleet/requests/attempts/EndpointHealth.h>
#include <fleet/requests/dispatch/EndpointSelection.h>
#include <fleet/requests/messages/RunningReported.h>
#include <fleet/requests/tables/RequestLifecycle.h>
#include <fleet/requests/tables/RequestTables.h>
#include <set>

namespace Greengage {

namespace {

/// Maximum number of attempts for one request.
constexpr int maxAttempts = 4;
/// How often an endpoint is queried for work whose end is not known.
constexpr Milliseconds askInterval { 250 };

} // namespace

AttemptTracker::AttemptTracker(Tick& tick)
    : tick(tick)
{
}

void AttemptTracker::handle(const AttemptEnded& ended)
{
    auto& requests = this->tick.tables.requests;
    auto found = requests.find(ended.request);
    if (found == requests.end())
        return;
    auto& row = found->second;
    if (row.stage != RequestStage::Sent || row.attempts != ended.attempt)
        return;
    this->recordHealth(row, ended.result);
    if (ended.result != AttemptResult::Refused)
        row.tried.insert(row.endpoint);
    RequestLifecycle lifecycle(this->tick);
    switch (ended.result) {
    case AttemptResult::Answered:
        this->tick.tables.runTimes[row.queue].add(this->tick.now - row.sentAt);
        lifecycle.release(row);
        lifecycle.finish(row, Outcome::Answered, OutcomeReason::None);
        return;
    case AttemptResult::NotSent:
        lifecycle.release(row);
        this->retry(row, OutcomeReason::EndpointsRefused);
        return;
    case AttemptResult::Refused:
        lifecycle.release(row);
        this->retryWithinBudget(row, OutcomeReason::EndpointsRefused);
        return;
    case AttemptResult::Broken:
        this->handleLostAttempt(row, OutcomeReason::ConnectionBroken);
        return;
    case AttemptResult::Silent:
        this->tick.tables.runTimes[row.queue].addUnanswered(this->tick.now - row.sentAt);
        this->handleLostAttempt(row, OutcomeReason::AnswerTimedOut);
        return;
    }
}

void AttemptTracker::recordHealth(const RequestRow& row, AttemptResult result)
{
    auto found = this->tick.tables.endpoints.find(row.endpoint);
    if (found == this->tick.tables.endpoints.end())
        return;
    EndpointHealth health(found->second, this->tick.now);
    bool endpointAnswersOthers = result == AttemptResult::Silent && found->second.answeredAt >= row.sentAt;
    if (result == AttemptResult::Answered)
        health.recordAnswer();
    else if (result == AttemptResult::Refused)
        health.recordRefusal();
    else if (!endpointAnswersOthers)
        health.recordFailure();
}

void AttemptTracker::retryWithinBudget(RequestRow& row, OutcomeReason reason)
{
    bool worthwhile = this->mayRetry(row);
    if (worthwhile && this->tick.tables.retryBudgets[row.service].consumeExtraSend())
        return this->retry(row, reason);
    RequestLifecycle lifecycle(this->tick);
    lifecycle.requeue(row);
    lifecycle.refuse(row, worthwhile && !row.mayHaveRun ? OutcomeReason::RetryBudgetSpent : reason);
}

bool AttemptTracker::mayRetry(const RequestRow& row) const
{
    return row.attempts < maxAttempts && !row.callerLeft && !row.deadline.hasPassed(this->tick.now)
        && EndpointSelection(this->tick).countCandidates(row) > 0;
}

void AttemptTracker::retry(RequestRow& row, OutcomeReason reason)
{
    RequestLifecycle lifecycle(this->tick);
    bool again = this->mayRetry(row);
    lifecycle.requeue(row);
    if (again)
        Admission(this->tick).recheckWaiting(row);
    else
        lifecycle.refuse(row, reason);
}

void AttemptTracker::handleLostAttempt(RequestRow& row, OutcomeReason reason)
{
    RequestLifecycle lifecycle(this->tick);
    lifecycle.holdAsUnknown(row);
    if (row.idempotent)
        return this->retryWithinBudget(row, reason);
    lifecycle.finish(row, Outcome::Unknown, reason);
}

void AttemptTracker::handle(const RunningReported& report)
{
    auto hasEnded = [&](const UnknownWork& work) {
        if (work.endpoint != report.endpoint || report.askedAt < work.settlesAfter)
            return false;
        return std::none_of(report.running.begin(), report.running.end(),
            [&](const RunningWork& running) { return running.request == work.request; });
    };
    auto& unknown = this->tick.tables.unknownWork;
    for (const auto& work : unknown) {
        if (hasEnded(work))
            RequestLifecycle(this->tick).release(work);
    }
    std::erase_if(unknown, hasEnded);
}

void AttemptTracker::settleUnknown()
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
    for (const auto& work : tables.unknownWork) {
        if (this->tick.now >= work.settlesAfter)
            endpoints.insert(work.endpoint);
    }
    for (const auto& id : endpoints) {
        auto found = tables.endpoints.find(id);
        if (found == tables.endpoints.end() || !found->second.askAgainAt.hasPassed(this->tick.now))
            continue;
        found->second.askAgainAt = Deadline::after(this->tick.now, askInterval);
        this->tick.outbox.emplace_back(AskRunning { id, found->second.address, found->second.port });
    }
}

} // namespace Greengage
