#include <cli/output/JsonOutline.h>

#include <cli/output/TextTable.h>
#include <config/json/JsonText.h>

#include <algorithm>
#include <json/value.h>

namespace Greengage {

namespace {

std::string formatValue(const Json::Value& value) { return value.isString() ? value.asString() : writeJson(value); }

bool isTable(const Json::Value& value)
{
    return value.isArray() && !value.empty()
        && std::all_of(value.begin(), value.end(), [](const Json::Value& row) { return row.isObject(); });
}

std::string formatTable(const Json::Value& rows)
{
    std::vector<std::string> columns;
    for (const auto& row : rows) {
        for (const auto& name : row.getMemberNames()) {
            if (std::ranges::find(columns, name) == columns.end())
                columns.push_back(name);
        }
    }
    TextTable table(columns);
    for (const auto& row : rows) {
        std::vector<std::string> cells;
        for (const auto& name : columns)
            cells.push_back(row.isMember(name) ? formatValue(row[name]) : "-");
        table.add(std::move(cells));
    }
    return table.text();
}

} // namespace

std::string outlineJson(const Json::Value& json)
{
    if (!json.isObject())
        return formatValue(json) + "\n";
    std::string lines;
    std::string tables;
    for (const auto& name : json.getMemberNames()) {
        if (isTable(json[name]))
            tables += "\n" + name + "\n" + formatTable(json[name]);
        else
            lines += name + ": " + formatValue(json[name]) + "\n";
    }
    return lines + tables;
}

} // namespace Greengage
