#pragma once

#include <metrics/burn/BurnRow.h>

#include <string>
#include <vector>

namespace Greengage {

/// The report on service-level burn for operators: one line for each service and team, the fastest burning first.
class BurnReport {
public:
    /// Adds the rows of one daemon. Rows of the same service and team are summed.
    void add(const std::vector<BurnRow>&);

    const std::vector<BurnRow>& rows() const { return this->sorted; }

    /// A table in plain text.
    std::string text() const;

    /// A page that stands alone, with a bar chart in SVG.
    std::string html() const;

private:
    void sortByBurn();

    std::vector<BurnRow> sorted;
};

} // namespace Greengage
