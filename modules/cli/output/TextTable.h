#pragma once

#include <string>
#include <vector>

namespace Greengage {

/// A table in plain text, its columns as wide as their longest cell.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> header);

    /// Adds a row of as many cells as the header has.
    void add(std::vector<std::string> row);

    bool isEmpty() const { return this->rows.size() == 1; }

    /// The rows, each ended by a newline, without spaces at the end of a line.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows;
};

} // namespace Greengage
