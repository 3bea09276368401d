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

/// Owns all time series of one process. Each accessor returns the series with a name and labels, and creates it on
/// first use; the reference stays valid as long as the registry. The help text of a name is the one given first. Metric
/// names end in their unit, such as "_seconds" or "_total".
class MetricsRegistry {
public:
    Counter& counter(std::string_view name, std::string_view help, std::vector<Label> labels = {});
    Gauge& gauge(std::string_view name, std::string_view help, std::vector<Label> labels = {});
    LatencyHistogram& latency(std::string_view name, std::string_view help, std::vector<Label> labels = {});

    /// Formats all series in the Prometheus text exposition format, version 0.0.4: counters, then gauges, then
    /// histograms, each ordered by name.
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
    Families<LatencyHistogram> histograms;
};

} // namespace Greengage
