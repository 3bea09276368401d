#include <cli/output/TextTable.h>

#include <core/checks/Assertion.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr std::size_t columnSpacing = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> header)
    : rows { std::move(header) }
{
}

void TextTable::add(std::vector<std::string> row)
{
    assertInvariant(row.size() == this->rows.front().size(), "a table row has one cell for each column");
    this->rows.push_back(std::move(row));
}

std::string TextTable::text() const
{
    std::vector<std::size_t> widths(this->rows.front().size(), 0);
    for (const auto& row : this->rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const auto& row : this->rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + columnSpacing, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace Greengage
