#include <daemon/metrics/DemandGauges.h>

#include <fleet/peers/TeamDemand.h>
#include <metrics/registry/MetricsRegistry.h>

namespace Greengage {

void DemandGauges::publish(MetricsRegistry& registry, const std::vector<TeamDemand>& demands)
{
    for (Gauge* gauge : this->gauges)
        gauge->set(0);
    this->gauges.clear();
    for (const TeamDemand& demand : demands) {
        std::vector<Label> labels { { "queue", demand.queue.string() }, { "team", demand.team.string() } };
        this->set(registry.gauge("greengage_running", "Requests at endpoints.", labels), demand.running);
        this->set(registry.gauge("greengage_waiting", "Requests that wait.", labels), demand.waiting);
    }
}

void DemandGauges::set(Gauge& gauge, int amount)
{
    gauge.set(amount);
    this->gauges.push_back(&gauge);
}

} // namespace Greengage
