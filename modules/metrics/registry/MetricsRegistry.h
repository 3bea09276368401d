#pragma once

#include <metrics/registry/Counter.h>
#include <metrics/registry/Gauge.h>
#include <metrics/registry/Label.h>
#include <metrics/registry/LatencyHistogram.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// All series of one process. Ask for a series by name, help text and labels; the same name and labels give the same
/// object, which lives as long as the registry. Metric names end in their unit, such as "_seconds" or "_total".
class MetricsRegistry {
public:
    Counter& counter(std::string_view name, std::string_view help, std::vector<Label> labels = {});
    Gauge& gauge(std::string_view name, std::string_view help, std::vector<Label> labels = {});
    LatencyHistogram& latency(std::string_view name, std::string_view help, std::vector<Label> labels = {});

    /// All series in the Prometheus text exposition format, version 0.0.4, in the order of their names.
    std::string exposition() const;

private:
    template <typename Metric> struct Family {
        std::string help;
        std::map<std::vector<Label>, Metric> series;
    };

    template <typename Metric> using Families = std::map<std::string, Family<Metric>, std::less<>>;

    template <typename Metric>
    static Metric& findOrCreate(Families<Metric>&, std::string_view name, std::string_view help, std::vector<Label>);

    Families<Counter> counters;
    Families<Gauge> gauges;
    Families<LatencyHistogram> latencies;
};

} // namespace Greengage
