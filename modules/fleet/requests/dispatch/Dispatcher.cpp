#include <fleet/requests/dispatch/Dispatcher.h>

#include <algorithm>
#include <fleet/requests/claims/ClaimManager.h>
#include <fleet/requests/dispatch/EndpointSelection.h>
#include <fleet/requests/freshness/FreshnessFence.h>
#include <fleet/requests/limits/LimitEscrow.h>
#include <fleet/requests/tables/RequestLifecycle.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// Longest time between the decision to send and the first byte. It bounds how long a send may follow a newer decision.
constexpr Milliseconds sendWindow { 1000 };
/// Time limit of the first attempt of an idempotent request, so that an unresponsive endpoint leaves time for a second
/// attempt: a percentage of the remaining time, but at least this multiple of the median run time.
constexpr int firstAttemptPercent = 60;
constexpr int firstAttemptMedians = 4;
/// Slots of each daemon at a service that the team with most of the running requests leaves to the other teams. One
/// slot lets their next request start at once.
constexpr int reservedSlots = 1;

} // namespace

Dispatcher::Dispatcher(Tick& tick)
    : tick(tick)
    , keyedWorkEnd(FreshnessFence(tick).permissionEnd())
    , demand(tick)
    , usage(tick, this->demand)
    , slots(tick, this->demand)
{
}

void Dispatcher::run()
{
    while (this->startNext()) { }
}

RequestRow* Dispatcher::frontOf(TeamQueue& teamQueue) const
{
    auto& requests = this->tick.tables.requests;
    while (!teamQueue.order.empty()) {
        auto found = requests.find(teamQueue.order.front());
        bool isWaiting = found != requests.end() && found->second.stage == RequestStage::Waiting;
        if (isWaiting && !this->cannotFinishInTime(found->second))
            return &found->second;
        teamQueue.order.pop_front();
        if (isWaiting)
            RequestLifecycle(this->tick).refuse(found->second, OutcomeReason::DeadlinePassed);
    }
    return nullptr;
}

bool Dispatcher::cannotFinishInTime(const RequestRow& row) const
{
    if (row.deadline.hasPassed(this->tick.now))
        return true;
    auto estimate = this->tick.tables.runTimes.find(row.queue);
    if (row.attempts > 0 || estimate == this->tick.tables.runTimes.end())
        return false;
    auto total = row.deadline.remaining(row.arrivedAt);
    return row.deadline.remaining(this->tick.now) < estimate->second.requiredTime(total);
}

bool Dispatcher::isPermitted(const RequestRow& row) const
{
    bool keyed = !row.key.isEmpty();
    if (keyed && this->tick.now >= this->keyedWorkEnd)
        return false;
    return LimitEscrow(this->tick).allowsStart(row.team);
}

bool Dispatcher::mustLeaveLastSlot(const RequestRow& row)
{
    return this->usage.dominates(ServiceTeam { row.service, row.team })
        && this->slots.freeAt(row.service) <= reservedSlots;
}

bool Dispatcher::precedes(const RequestRow& row, const RequestRow& other) const
{
    if (this->tick.tables.policy.order == ServingOrder::FirstCome)
        return row.arrivedAt < other.arrivedAt;
    if (row.priority != other.priority)
        return row.priority < other.priority;
    double load = this->usage.loadOf(ServiceTeam { row.service, row.team });
    double otherLoad = this->usage.loadOf(ServiceTeam { other.service, other.team });
    if (load != otherLoad)
        return load < otherLoad;
    return row.arrivedAt < other.arrivedAt;
}

bool Dispatcher::startNext()
{
    TeamQueue* bestTeamQueue = nullptr;
    RequestRow* bestRow = nullptr;
    EndpointRow* bestEndpoint = nullptr;
    for (auto& [key, teamQueue] : this->tick.tables.teamQueues) {
        if (teamQueue.waiting == 0 || this->blocked.contains(&teamQueue))
            continue;
        RequestRow* row = this->frontOf(teamQueue);
        EndpointRow* endpoint
            = row && this->isPermitted(*row) ? EndpointSelection(this->tick).choose(*row, this->slots) : nullptr;
        if (endpoint && this->mustLeaveLastSlot(*row))
            endpoint = nullptr;
        if (!endpoint) {
            this->blocked.insert(&teamQueue);
            continue;
        }
        if (bestRow && !this->precedes(*row, *bestRow))
            continue;
        bestTeamQueue = &teamQueue;
        bestRow = row;
        bestEndpoint = endpoint;
    }
    if (!bestRow)
        return false;
    this->begin(*bestTeamQueue, *bestRow, *bestEndpoint);
    return true;
}

void Dispatcher::begin(TeamQueue& teamQueue, RequestRow& row, EndpointRow& endpoint)
{
    teamQueue.order.pop_front();
    RequestLifecycle(this->tick).start(row, endpoint.id);
    this->usage.addStart(ServiceTeam { row.service, row.team });
    ClaimManager claims(this->tick);
    if (claims.isNeeded(row))
        claims.request(row);
    else
        this->send(row, endpoint);
}

void Dispatcher::send(RequestRow& row, const EndpointRow& endpoint)
{
    if (row.attempts == 0)
        this->tick.tables.retryBudgets[row.service].addFirstSend();
    row.attempts += 1;
    row.sentAt = this->tick.now;
    SendAttempt attempt;
    attempt.request = row.id;
    attempt.attempt = row.attempts;
    attempt.endpoint = endpoint.id;
    attempt.address = endpoint.address;
    attempt.port = endpoint.port;
    attempt.team = row.team;
    attempt.notAfter = std::min(row.deadline, Deadline::after(this->tick.now, sendWindow));
    if (!row.key.isEmpty())
        attempt.notAfter = std::min(attempt.notAfter, Deadline(this->keyedWorkEnd));
    attempt.answerBy = this->answerBy(row);
    attempt.freshConnection = !row.idempotent || row.attempts > 1 || endpoint.consecutiveFailures > 0;
    this->tick.outbox.emplace_back(attempt);
}

Deadline Dispatcher::answerBy(const RequestRow& row) const
{
    bool mayRetry = row.idempotent && row.attempts == 1 && EndpointSelection(this->tick).countCandidates(row) > 1;
    if (!mayRetry)
        return row.deadline;
    auto remainingTime = row.deadline.remaining(this->tick.now);
    auto estimate = this->tick.tables.runTimes.find(row.queue);
    auto median = estimate == this->tick.tables.runTimes.end() ? Microseconds::zero() : estimate->second.median();
    auto firstAttemptTime = std::max(remainingTime * firstAttemptPercent / 100, median * firstAttemptMedians);
    return std::min(row.deadline, Deadline::after(this->tick.now, firstAttemptTime));
}

} // namespace Greengage
