#pragma once

#include <vector>

namespace Greengage {

class Gauge;
class MetricsRegistry;
struct TeamDemand;

/// Publishes how many requests of each queue and team run and wait. A series without requests is set back to 0.
class DemandGauges {
public:
    void publish(MetricsRegistry&, const std::vector<TeamDemand>&);

private:
    void set(Gauge&, int amount);

    /// The gauges set by the last `publish`; the registry owns them.
    std::vector<Gauge*> gauges;
};

} // namespace Greengage
