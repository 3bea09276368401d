#pragma once

#include <metrics/burn/BurnRow.h>

#include <string>
#include <vector>

namespace Greengage {

/// Reports error budget burn rates to operators: one row for each service and team, ordered by descending 1-hour burn
/// rate.
class BurnReport {
public:
    /// Adds the rows of one daemon. The counts of rows with the same service and team are summed.
    void add(const std::vector<BurnRow>&);

    const std::vector<BurnRow>& rows() const { return this->sortedRows; }

    /// Formats the report as a plain-text table.
    std::string text() const;

    /// Formats the report as a self-contained HTML page with an SVG bar chart.
    std::string html() const;

private:
    void sortByBurnRate();

    std::vector<BurnRow> sortedRows;
};

} // namespace Greengage
