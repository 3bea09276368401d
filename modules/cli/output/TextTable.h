#pragma once

#include <string>
#include <vector>

namespace Greengage {

/// Formats rows as a plain-text table whose columns are as wide as their longest cell.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> header);

    /// Adds a row, which must have as many cells as the header.
    void add(std::vector<std::string> row);

    /// Whether the table has no rows besides the header.
    bool isEmpty() const { return this->rows.size() == 1; }

    /// Returns the header and the rows, each ended by a newline and without trailing spaces.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows;
};

} // namespace Greengage
