#include <fleet/requests/admission/Admission.h>

#include <algorithm>
#include <fleet/requests/admission/RetryAdvice.h>
#include <fleet/requests/freshness/FreshnessFence.h>
#include <fleet/requests/messages/RequestArrived.h>
#include <fleet/requests/tables/RequestLifecycle.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

Admission::Admission(Tick& tick)
    : tick(tick)
{
}

void Admission::refuse(const RequestArrived& arrived, OutcomeReason reason, const TeamId& team)
{
    this->tick.outbox.push_back(AnswerCaller { arrived.request, Outcome::NotRun, reason, 0, retryAfter(reason), team });
}

void Admission::admit(const RequestArrived& arrived)
{
    const auto& tables = this->tick.tables;
    if (tables.shuttingDown)
        return this->refuse(arrived, OutcomeReason::ShuttingDown);
    if (!tables.document)
        return this->refuse(arrived, OutcomeReason::NoDocument);
    const Queue* queue = tables.findQueue(arrived.queue);
    if (!queue)
        return this->refuse(arrived, OutcomeReason::UnknownQueue);
    RequestRow row;
    if (auto reason = this->identify(*queue, arrived, row); reason != OutcomeReason::None)
        return this->refuse(arrived, reason);
    row.id = arrived.request;
    row.queue = queue->name;
    row.service = queue->service;
    row.priority = queue->priority;
    row.idempotent = queue->idempotent;
    row.idempotencyKey = arrived.idempotencyKey;
    row.arrivedAt = this->tick.now;
    auto longest = Deadline::after(this->tick.now, Milliseconds(queue->maxDeadlineMilliseconds));
    bool unbounded = arrived.deadline == Deadline::never();
    row.deadline = unbounded ? longest : arrived.deadline;
    if (row.deadline > longest)
        return this->refuse(arrived, OutcomeReason::DeadlineTooLong, row.team);
    if (auto reason = this->checkCapacity(*queue, row); reason != OutcomeReason::None)
        return this->refuse(arrived, reason, row.team);
    RequestLifecycle(this->tick).enqueue(std::move(row));
}

OutcomeReason Admission::identify(const Queue& queue, const RequestArrived& arrived, RequestRow& row) const
{
    const auto& tables = this->tick.tables;
    if (queue.access == QueueAccess::Open) {
        TeamId owner(queue.owner);
        if (tables.findTeam(owner))
            row.team = owner;
        return OutcomeReason::None;
    }
    if (arrived.bearer.empty())
        return OutcomeReason::KeyMissing;
    if (!FreshnessFence(this->tick).allowsKeyedWork())
        return OutcomeReason::ConfigurationStale;
    auto identity = tables.keys.verify(arrived.bearer);
    if (!identity)
        return OutcomeReason::KeyInvalid;
    row.key = identity->key;
    row.keyDigest = this->digestOf(row.key);
    row.team = identity->team;
    return OutcomeReason::None;
}

OutcomeReason Admission::checkCapacity(const Queue& queue, const RequestRow& row) const
{
    const auto& tables = this->tick.tables;
    if (row.deadline.hasPassed(this->tick.now))
        return OutcomeReason::DeadlinePassed;
    const Team* team = tables.findTeam(row.team);
    if (team && team->limit == 0)
        return OutcomeReason::LimitReached;
    auto teamQueue = tables.teamQueues.find(TeamQueueKey { row.queue, row.team });
    if (teamQueue != tables.teamQueues.end() && teamQueue->second.waiting >= queue.maxWaitingPerTeam)
        return OutcomeReason::QueueFull;
    return OutcomeReason::None;
}

OutcomeReason Admission::recheck(const RequestRow& row) const
{
    const auto& tables = this->tick.tables;
    const Queue* queue = tables.findQueue(row.queue);
    if (!queue || queue->service != row.service)
        return OutcomeReason::UnknownQueue;
    if (queue->access == QueueAccess::Open)
        return OutcomeReason::None;
    bool keyUnchanged = tables.findTeam(row.team) && this->digestOf(row.key) == row.keyDigest;
    return keyUnchanged ? OutcomeReason::None : OutcomeReason::KeyInvalid;
}

std::string Admission::digestOf(const KeyId& name) const
{
    const auto& keys = this->tick.tables.document->keys;
    auto found = std::find_if(keys.begin(), keys.end(), [&](const AccessKey& key) { return key.name == name; });
    return found == keys.end() ? std::string() : found->team.string() + " " + found->salt + " " + found->digest;
}

void Admission::recheckWaiting()
{
    auto& requests = this->tick.tables.requests;
    for (auto next = requests.begin(); next != requests.end();) {
        auto& row = (next++)->second;
        if (row.stage == RequestStage::Waiting)
            this->recheckWaiting(row);
    }
}

void Admission::recheckWaiting(RequestRow& row)
{
    if (auto reason = this->recheck(row); reason != OutcomeReason::None)
        RequestLifecycle(this->tick).refuse(row, reason);
}

} // namespace Greengage
