#include "Chart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iomanip>

namespace Greengage {

namespace {

constexpr double width = 900;
constexpr double height = 420;
constexpr double left = 60;
constexpr double right = 20;
constexpr double top = 50;
constexpr double bottom = 120;
constexpr std::array<const char*, 4> colours { "#3b6ea5", "#d98a2b", "#5a9e6f", "#8a5a9e" };

std::ofstream openChart(const std::string& path, const std::string& title)
{
    std::ofstream file(path);
    file << std::fixed << std::setprecision(1);
    file << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << width << " " << height
         << "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
         << "<text x=\"" << left << "\" y=\"20\" font-size=\"14\">" << title << "</text>\n";
    return file;
}

void writeLegend(std::ofstream& file, const std::vector<Series>& series)
{
    for (std::size_t index = 0; index < series.size(); index++) {
        const double x = left + 160.0 * static_cast<double>(index);
        file << "<rect x=\"" << x << "\" y=\"28\" width=\"10\" height=\"10\" fill=\"" << colours[index % colours.size()]
             << "\"/><text x=\"" << x + 14 << "\" y=\"37\">" << series[index].name << "</text>\n";
    }
}

double largestValue(const std::vector<Series>& series)
{
    double largest = 1e-9;
    for (const auto& row : series) {
        for (double value : row.values)
            largest = std::max(largest, value);
    }
    return largest;
}

void writeBar(std::ofstream& file, double x, double barWidth, double value, double largest, std::size_t series)
{
    const double barHeight = (height - top - bottom) * value / largest;
    const double y = height - bottom - barHeight;
    file << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << barWidth << "\" height=\"" << barHeight
         << "\" fill=\"" << colours[series % colours.size()] << "\"/><text x=\"" << x << "\" y=\"" << y - 3
         << "\" font-size=\"9\">" << value << "</text>\n";
}

} // namespace

void writeBarChart(const std::string& path, const std::string& title, const std::vector<std::string>& labels,
    const std::vector<Series>& series)
{
    auto file = openChart(path, title);
    writeLegend(file, series);
    const double largest = largestValue(series);
    const double groupWidth = (width - left - right) / static_cast<double>(labels.size());
    const double barWidth = groupWidth * 0.8 / static_cast<double>(series.size());
    for (std::size_t label = 0; label < labels.size(); label++) {
        const double x = left + groupWidth * static_cast<double>(label);
        for (std::size_t row = 0; row < series.size(); row++)
            writeBar(file, x + barWidth * static_cast<double>(row), barWidth * 0.95, series[row].values[label], largest,
                row);
        file << "<text transform=\"translate(" << x + 4 << "," << height - bottom + 14 << ") rotate(35)\">"
             << labels[label] << "</text>\n";
    }
    file << "</svg>\n";
}

void writeLineChart(const std::string& path, const std::string& title, const std::string& axis,
    const std::vector<double>& positions, const std::vector<Series>& series)
{
    auto file = openChart(path, title);
    writeLegend(file, series);
    const double largest = largestValue(series);
    double smallest = largest;
    for (const auto& row : series)
        smallest = std::min(smallest, *std::min_element(row.values.begin(), row.values.end()));
    const double xSpan = std::log(positions.back() / positions.front());
    const double ySpan = std::max(1e-9, std::log(largest / std::max(1e-9, smallest)));
    auto xOf = [&](double position) {
        return left + (width - left - right - 60) * std::log(position / positions.front()) / xSpan;
    };
    auto yOf
        = [&](double value) { return height - bottom - (height - top - bottom) * std::log(value / smallest) / ySpan; };
    for (std::size_t row = 0; row < series.size(); row++) {
        file << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colours[row % colours.size()]
             << "\" points=\"";
        for (std::size_t index = 0; index < positions.size(); index++)
            file << xOf(positions[index]) << "," << yOf(series[row].values[index]) << " ";
        file << "\"/>\n";
        for (std::size_t index = 0; index < positions.size(); index++)
            file << "<text x=\"" << xOf(positions[index]) << "\" y=\"" << yOf(series[row].values[index]) - 6 << "\">"
                 << series[row].values[index] << "</text>\n";
    }
    for (double position : positions)
        file << "<text x=\"" << xOf(position) << "\" y=\"" << height - bottom + 18 << "\">" << position << "</text>\n";
    file << "<text x=\"" << left << "\" y=\"" << height - bottom + 40 << "\">" << axis << "</text>\n</svg>\n";
}

} // namespace Greengage
