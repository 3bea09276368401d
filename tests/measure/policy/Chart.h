#pragma once

#include <string>
#include <vector>

namespace Greengage {

/// One named series of values in a chart.
struct Series {
    std::string name;
    std::vector<double> values;
};

/// Writes a bar chart as an SVG file: one group of bars for each label, one bar for each series.
void writeBarChart(const std::string& path, const std::string& title, const std::vector<std::string>& labels,
    const std::vector<Series>& series);

/// Writes a line chart as an SVG file, both axes logarithmic; `positions` are the values along the horizontal axis.
void writeLineChart(const std::string& path, const std::string& title, const std::string& axis,
    const std::vector<double>& positions, const std::vector<Series>& series);

} // namespace Greengage
