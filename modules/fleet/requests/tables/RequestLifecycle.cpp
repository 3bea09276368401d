#include <fleet/requests/tables/RequestLifecycle.h>

#include <core/checks/Assertion.h>
#include <fleet/requests/admission/RetryAdvice.h>
#include <fleet/requests/claims/ClaimManager.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// How long bytes of a broken attempt may still be on their way to the endpoint.
constexpr Milliseconds settlementDelay { 250 };

} // namespace

RequestLifecycle::RequestLifecycle(Tick& tick)
    : tick(tick)
{
}

void RequestLifecycle::count(const TeamQueueKey& key, int waiting, int running)
{
    auto& teamQueue = this->tick.tables.teamQueues[key];
    teamQueue.waiting += waiting;
    teamQueue.running += running;
    assertInvariant(
        teamQueue.waiting >= 0 && teamQueue.running >= 0, "a team's waiting line must not have a negative count");
    auto& usage = this->tick.tables.usage[key.team];
    usage.waiting += waiting;
    usage.running += running;
}

void RequestLifecycle::enqueue(RequestRow row)
{
    TeamQueueKey key { row.queue, row.team };
    this->tick.tables.teamQueues[key].order.push_back(row.id);
    this->count(key, 1, 0);
    this->tick.tables.deadlines.emplace(row.deadline.at(), row.id);
    auto id = row.id;
    bool added = this->tick.tables.requests.emplace(id, std::move(row)).second;
    assertInvariant(added, "request ids are unique");
}

void RequestLifecycle::requeue(RequestRow& row)
{
    row.stage = RequestStage::Waiting;
    row.endpoint = VmId();
    this->tick.tables.deadlines.emplace(row.deadline.at(), row.id);
    TeamQueueKey key { row.queue, row.team };
    this->tick.tables.teamQueues[key].order.push_front(row.id);
    this->count(key, 1, 0);
}

void RequestLifecycle::start(RequestRow& row, const VmId& endpoint)
{
    this->count(TeamQueueKey { row.queue, row.team }, -1, 1);
    row.stage = RequestStage::Sent;
    row.endpoint = endpoint;
    this->tick.tables.endpoints.at(endpoint).running += 1;
}

void RequestLifecycle::release(const RequestRow& row)
{
    this->release(TeamQueueKey { row.queue, row.team }, row.endpoint);
}

void RequestLifecycle::release(const UnknownWork& work) { this->release(work.teamQueue, work.endpoint); }

void RequestLifecycle::release(const TeamQueueKey& key, const VmId& endpoint)
{
    this->count(key, 0, -1);
    auto found = this->tick.tables.endpoints.find(endpoint);
    if (found == this->tick.tables.endpoints.end())
        return;
    assertInvariant(found->second.running > 0, "a released slot of an endpoint was in use");
    found->second.running -= 1;
}

void RequestLifecycle::holdAsUnknown(RequestRow& row)
{
    row.mayHaveRun = true;
    this->tick.tables.unknownWork.push_back(
        UnknownWork { row.id, TeamQueueKey { row.queue, row.team }, row.endpoint, this->tick.now + settlementDelay });
}

void RequestLifecycle::refuse(RequestRow& row, OutcomeReason reason)
{
    this->finish(row, row.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, reason, retryAfter(reason));
}

void RequestLifecycle::finish(RequestRow& row, Outcome outcome, OutcomeReason reason, Milliseconds retryAfter)
{
    if (row.stage == RequestStage::Waiting)
        this->count(TeamQueueKey { row.queue, row.team }, -1, 0);
    if (!row.callerLeft)
        this->tick.outbox.push_back(AnswerCaller { row.id, outcome, reason, row.attempts, retryAfter, row.team });
    if (outcome == Outcome::NotRun)
        ClaimManager(this->tick).retainUnused(row);
    this->tick.tables.requests.erase(RequestId(row.id));
}

} // namespace Greengage
