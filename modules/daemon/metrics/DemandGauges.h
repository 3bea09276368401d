#pragma once

#include <vector>

namespace Greengage {

class Gauge;
class MetricsRegistry;
struct TeamDemand;

/// Shows how many requests run and wait of each queue and team. A series that has been shown goes back to 0.
class DemandGauges {
public:
    void publish(MetricsRegistry&, const std::vector<TeamDemand>&);

private:
    void show(Gauge&, int amount);

    /// The gauges that stand above 0; they belong to the registry.
    std::vector<Gauge*> shown;
};

} // namespace Greengage
