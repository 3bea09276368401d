#include <metrics/registry/MetricsRegistry.h>

#include <spdlog/fmt/fmt.h>
#include <utility>

namespace Greengage {

namespace {

/// Bounds the memory that label values from outside the process can use: further series of a family share one overflow
/// series.
constexpr std::size_t maxSeriesPerFamily = 4096;
constexpr std::string_view overflowLabelName = "overflow";

std::string escapeLabelValue(std::string_view value)
{
    std::string escaped;
    for (char character : value) {
        if (character == '\\' || character == '"')
            escaped.push_back('\\');
        if (character == '\n')
            escaped += "\\n";
        else
            escaped.push_back(character);
    }
    return escaped;
}

std::string formatLabels(const std::vector<Label>& labels, std::string_view upperBound = {})
{
    std::string text;
    for (const auto& label : labels)
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.name, escapeLabelValue(label.value));
    if (!upperBound.empty())
        text += fmt::format("{}le=\"{}\"", text.empty() ? "" : ",", upperBound);
    return text.empty() ? text : "{" + text + "}";
}

std::string formatHeader(std::string_view name, std::string_view help, std::string_view type)
{
    return fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type);
}

std::string formatHistogram(std::string_view name, const std::vector<Label>& labels, const LatencyHistogram& histogram)
{
    std::string text;
    for (int bucket = 0; bucket < histogram.bucketCount(); ++bucket) {
        auto bound = fmt::format("{:.3f}", histogram.upperBoundSeconds(bucket));
        text += fmt::format("{}_bucket{} {}\n", name, formatLabels(labels, bound), histogram.cumulativeCount(bucket));
    }
    text += fmt::format("{}_bucket{} {}\n", name, formatLabels(labels, "+Inf"), histogram.count());
    text += fmt::format("{}_sum{} {}\n", name, formatLabels(labels), histogram.sumSeconds());
    text += fmt::format("{}_count{} {}\n", name, formatLabels(labels), histogram.count());
    return text;
}

} // namespace

template <typename Metric>
Metric& MetricsRegistry::findOrCreate(
    Families<Metric>& families, std::string_view name, std::string_view help, std::vector<Label> labels)
{
    auto found = families.find(name);
    if (found == families.end())
        found = families.emplace(std::string(name), Family<Metric> { std::string(help), {} }).first;
    auto& series = found->second.series;
    bool isFull = series.size() >= maxSeriesPerFamily;
    if (isFull && !series.contains(labels))
        labels = { Label { std::string(overflowLabelName), "true" } };
    return series[std::move(labels)];
}

Counter& MetricsRegistry::counter(std::string_view name, std::string_view help, std::vector<Label> labels)
{
    return findOrCreate(this->counters, name, help, std::move(labels));
}

Gauge& MetricsRegistry::gauge(std::string_view name, std::string_view help, std::vector<Label> labels)
{
    return findOrCreate(this->gauges, name, help, std::move(labels));
}

LatencyHistogram& MetricsRegistry::latency(std::string_view name, std::string_view help, std::vector<Label> labels)
{
    return findOrCreate(this->histograms, name, help, std::move(labels));
}

std::string MetricsRegistry::exposition() const
{
    std::string text;
    for (const auto& [name, family] : this->counters) {
        text += formatHeader(name, family.help, "counter");
        for (const auto& [labels, counter] : family.series)
            text += fmt::format("{}{} {}\n", name, formatLabels(labels), counter.value());
    }
    for (const auto& [name, family] : this->gauges) {
        text += formatHeader(name, family.help, "gauge");
        for (const auto& [labels, gauge] : family.series)
            text += fmt::format("{}{} {}\n", name, formatLabels(labels), gauge.value());
    }
    for (const auto& [name, family] : this->histograms) {
        text += formatHeader(name, family.help, "histogram");
        for (const auto& [labels, histogram] : family.series)
            text += formatHistogram(name, labels, histogram);
    }
    return text;
}

} // namespace Greengage
