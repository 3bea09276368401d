#include <fleet/requests/dispatch/Dispatch.h>

#include <algorithm>
#include <fleet/requests/dispatch/EndpointSelection.h>
#include <fleet/requests/freshness/FreshnessFence.h>
#include <fleet/requests/limits/LimitEscrow.h>
#include <fleet/requests/tables/RequestLifecycle.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// Longest time between the decision to send and the first byte, so that a newer decision is not overtaken for long.
constexpr Milliseconds sendWindow { 1000 };

} // namespace

Dispatch::Dispatch(Tick& tick)
    : tick(tick)
    , keyedWorkEnd(FreshnessFence(tick).permissionEnd())
{
}

void Dispatch::run()
{
    while (this->startNext()) { }
}

RequestRow* Dispatch::frontOf(WorkLine& line) const
{
    auto& requests = this->tick.tables.requests;
    while (!line.order.empty()) {
        auto found = requests.find(line.order.front());
        bool waits = found != requests.end() && found->second.stage == RequestStage::Waiting;
        if (waits && !this->comesTooLate(found->second))
            return &found->second;
        line.order.pop_front();
        if (waits)
            RequestLifecycle(this->tick).refuse(found->second, OutcomeReason::DeadlinePassed);
    }
    return nullptr;
}

bool Dispatch::comesTooLate(const RequestRow& row) const
{
    auto estimate = this->tick.tables.runTimes.find(row.queue);
    if (estimate == this->tick.tables.runTimes.end())
        return false;
    auto median = estimate->second.median();
    return row.deadline.remaining(this->tick.now) < median && row.deadline.remaining(row.arrivedAt) >= median;
}

bool Dispatch::isPermitted(const RequestRow& row) const
{
    bool keyed = !row.key.isEmpty();
    if (keyed && this->tick.now >= this->keyedWorkEnd)
        return false;
    return LimitEscrow(this->tick).allowsStart(row.team);
}

double Dispatch::loadOf(const WorkLineKey& key) const
{
    const Team* team = this->tick.tables.findTeam(key.team);
    return this->tick.tables.usageOf(key.team).running / (team ? team->share : 1.0);
}

bool Dispatch::goesBefore(
    const WorkLineKey& key, const RequestRow& row, const WorkLineKey& otherKey, const RequestRow& other) const
{
    if (row.priority != other.priority)
        return row.priority < other.priority;
    return this->loadOf(key) < this->loadOf(otherKey);
}

bool Dispatch::startNext()
{
    WorkLine* bestLine = nullptr;
    const WorkLineKey* bestKey = nullptr;
    RequestRow* bestRow = nullptr;
    EndpointRow* bestEndpoint = nullptr;
    for (auto& [key, line] : this->tick.tables.lines) {
        if (line.waiting == 0 || this->blocked.contains(&line))
            continue;
        RequestRow* row = this->frontOf(line);
        EndpointRow* endpoint = row && this->isPermitted(*row) ? EndpointSelection(this->tick).choose(*row) : nullptr;
        if (!endpoint) {
            this->blocked.insert(&line);
            continue;
        }
        if (bestRow && !this->goesBefore(key, *row, *bestKey, *bestRow))
            continue;
        bestLine = &line;
        bestKey = &key;
        bestRow = row;
        bestEndpoint = endpoint;
    }
    if (!bestRow)
        return false;
    this->begin(*bestLine, *bestRow, *bestEndpoint);
    return true;
}

void Dispatch::begin(WorkLine& line, RequestRow& row, EndpointRow& endpoint)
{
    line.order.pop_front();
    RequestLifecycle(this->tick).start(row, endpoint.id);
    this->send(row, endpoint);
}

void Dispatch::send(RequestRow& row, const EndpointRow& endpoint)
{
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
    attempt.answerBy = row.deadline;
    attempt.freshConnection = !row.idempotent;
    this->tick.outbox.emplace_back(attempt);
}

} // namespace Greengage
