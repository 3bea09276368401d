#include <metrics/burn/BurnReport.h>

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

/// Burn rate from which the report marks a row. At this rate a 30-day error budget is used up in about two days.
constexpr double fastBurnRate = 14.4;
constexpr int barLengthPixels = 400;
constexpr int rowHeightPixels = 22;
constexpr int labelWidthPixels = 260;

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (char character : text) {
        switch (character) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped.push_back(character);
        }
    }
    return escaped;
}

bool isBurningFast(const BurnRow& row)
{
    return row.burnRate(BurnWindow::FiveMinutes) >= fastBurnRate && row.burnRate(BurnWindow::OneHour) >= fastBurnRate;
}

std::string teamDisplayName(const BurnRow& row) { return row.team.isEmpty() ? "(none)" : row.team.string(); }

std::string formatSvgBar(const BurnRow& row, std::size_t index, double maxBurnRate)
{
    double rate = row.burnRate(BurnWindow::OneHour);
    double width = maxBurnRate > 0 ? barLengthPixels * rate / maxBurnRate : 0;
    auto label = escapeHtml(row.service.string() + " / " + teamDisplayName(row));
    auto top = static_cast<int>(index) * rowHeightPixels;
    return fmt::format("<text x=\"0\" y=\"{}\">{}</text>"
                       "<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/>"
                       "<text x=\"{:.1f}\" y=\"{}\">{:.2f}</text>\n",
        top + 15, label, labelWidthPixels, top + 3, width, rowHeightPixels - 6,
        isBurningFast(row) ? "#b00020" : "#4a7c59", labelWidthPixels + width + 6, top + 15, rate);
}

std::string formatHtmlRow(const BurnRow& row)
{
    std::string cells = fmt::format("<td>{}</td><td>{}</td><td>{:.2f}%</td>", escapeHtml(row.service.string()),
        escapeHtml(teamDisplayName(row)), row.objectivePercent);
    for (const auto& [window, name] : EnumNames<BurnWindow>::table) {
        const auto& counts = row.windows[static_cast<std::size_t>(window)];
        cells += fmt::format(
            "<td>{:.2f}</td><td>{}/{}</td>", row.burnRate(window), counts.total - counts.good, counts.total);
    }
    return fmt::format("<tr{}>{}</tr>\n", isBurningFast(row) ? " class=\"fast\"" : "", cells);
}

} // namespace

void BurnReport::add(const std::vector<BurnRow>& rows)
{
    for (const auto& row : rows) {
        auto found = std::find_if(this->sortedRows.begin(), this->sortedRows.end(),
            [&](const BurnRow& known) { return known.service == row.service && known.team == row.team; });
        if (found == this->sortedRows.end()) {
            this->sortedRows.push_back(row);
            continue;
        }
        for (std::size_t index = 0; index < burnWindowCount; ++index)
            found->windows[index] += row.windows[index];
    }
    this->sortByBurnRate();
}

void BurnReport::sortByBurnRate()
{
    std::sort(this->sortedRows.begin(), this->sortedRows.end(), [](const BurnRow& left, const BurnRow& right) {
        auto leftKey = std::make_tuple(-left.burnRate(BurnWindow::OneHour), left.service, left.team);
        auto rightKey = std::make_tuple(-right.burnRate(BurnWindow::OneHour), right.service, right.team);
        return leftKey < rightKey;
    });
}

std::string BurnReport::text() const
{
    std::string text = fmt::format("{:<24} {:<24} {:>9}", "service", "team", "objective");
    for (const auto& [window, name] : EnumNames<BurnWindow>::table)
        text += fmt::format(" {:>10} {:>13}", fmt::format("burn {}", name), "bad/all");
    text += '\n';
    for (const auto& row : this->sortedRows) {
        text
            += fmt::format("{:<24} {:<24} {:>8.2f}%", row.service.string(), teamDisplayName(row), row.objectivePercent);
        for (const auto& [window, name] : EnumNames<BurnWindow>::table) {
            const auto& counts = row.windows[static_cast<std::size_t>(window)];
            auto badOfTotal = fmt::format("{}/{}", counts.total - counts.good, counts.total);
            text += fmt::format(" {:>10.2f} {:>13}", row.burnRate(window), badOfTotal);
        }
        text += isBurningFast(row) ? "  FAST\n" : "\n";
    }
    return text;
}

std::string BurnReport::html() const
{
    double maxBurnRate = 0;
    for (const auto& row : this->sortedRows)
        maxBurnRate = std::max(maxBurnRate, row.burnRate(BurnWindow::OneHour));
    std::string page
        = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>\n"
          "<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
          "td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}"
          "td:first-child,td:nth-child(2){text-align:left}.fast{background:#fde7e9}"
          "svg text{font-size:13px}</style></head><body>\n<h1>Service-level burn</h1>\n"
          "<p>A burn rate of 1 uses up the error budget exactly by the end of the objective's period. "
          "Marked rows burn at 14.4 or more over both 5 minutes and 1 hour.</p>\n<h2>Burn rate over 1 hour</h2>\n";
    page += fmt::format("<svg width=\"{}\" height=\"{}\" role=\"img\" aria-label=\"Burn rate by service and team\">\n",
        labelWidthPixels + barLengthPixels + 80, static_cast<int>(this->sortedRows.size()) * rowHeightPixels);
    for (std::size_t index = 0; index < this->sortedRows.size(); ++index)
        page += formatSvgBar(this->sortedRows[index], index, maxBurnRate);
    page += "</svg>\n<h2>All windows</h2>\n<table><tr><th>service</th><th>team</th><th>objective</th>";
    for (const auto& [window, name] : EnumNames<BurnWindow>::table)
        page += fmt::format("<th>burn {}</th><th>bad/all</th>", name);
    page += "</tr>\n";
    for (const auto& row : this->sortedRows)
        page += formatHtmlRow(row);
    return page + "</table>\n</body></html>\n";
}

} // namespace Greengage
