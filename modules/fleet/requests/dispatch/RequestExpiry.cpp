#include <fleet/requests/dispatch/RequestExpiry.h>

#include <fleet/requests/freshness/FreshnessFence.h>
#include <fleet/requests/limits/LimitEscrow.h>
#include <fleet/requests/messages/CallerLeft.h>
#include <fleet/requests/tables/RequestLifecycle.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

RequestExpiry::RequestExpiry(Tick& tick)
    : tick(tick)
{
}

void RequestExpiry::handle(const CallerLeft& left)
{
    auto& requests = this->tick.tables.requests;
    auto found = requests.find(left.request);
    if (found == requests.end())
        return;
    auto& row = found->second;
    row.callerLeft = true;
    if (row.stage == RequestStage::Waiting)
        RequestLifecycle(this->tick).refuse(row, OutcomeReason::None);
}

void RequestExpiry::run()
{
    auto& tables = this->tick.tables;
    while (!tables.deadlines.empty() && tables.deadlines.begin()->first <= this->tick.now) {
        auto id = tables.deadlines.begin()->second;
        tables.deadlines.erase(tables.deadlines.begin());
        auto found = tables.requests.find(id);
        if (found != tables.requests.end() && found->second.stage == RequestStage::Waiting)
            RequestLifecycle(this->tick).refuse(found->second, this->reasonFor(found->second));
    }
}

OutcomeReason RequestExpiry::reasonFor(const RequestRow& row) const
{
    const auto& tables = this->tick.tables;
    if (!row.key.isEmpty() && !FreshnessFence(this->tick).allowsKeyedWork())
        return OutcomeReason::ConfigurationStale;
    if (!LimitEscrow(this->tick).allowsStart(row.team))
        return OutcomeReason::LimitReached;
    for (const auto& [id, endpoint] : tables.endpoints) {
        if (endpoint.open && endpoint.service == row.service)
            return OutcomeReason::DeadlinePassed;
    }
    return OutcomeReason::NoEndpoint;
}

} // namespace Greengage
