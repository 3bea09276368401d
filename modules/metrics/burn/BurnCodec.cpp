#include <metrics/burn/BurnCodec.h>

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>
#include <memory>

namespace Greengage {

namespace {

using RowsResult = Result<std::vector<BurnRow>, BurnCodecError>;

Json::Value encodeRow(const BurnRow& row)
{
    Json::Value value;
    value["service"] = row.service.string();
    value["team"] = row.team.string();
    value["objectivePercent"] = row.objectivePercent;
    for (const auto& [window, name] : EnumNames<BurnWindow>::table) {
        const auto& counts = row.windows[static_cast<std::size_t>(window)];
        Json::Value& encoded = value["windows"][std::string(name)];
        encoded["total"] = static_cast<Json::UInt64>(counts.total);
        encoded["good"] = static_cast<Json::UInt64>(counts.good);
    }
    return value;
}

Result<RequestCounts, BurnCodecError> decodeCounts(const Json::Value& value)
{
    bool wellFormed = value.isObject() && value["total"].isUInt64() && value["good"].isUInt64();
    if (!wellFormed)
        return failure(BurnCodecError { "a window needs the unsigned integers total and good" });
    RequestCounts counts { value["total"].asUInt64(), value["good"].asUInt64() };
    if (counts.good > counts.total)
        return failure(BurnCodecError { "a window has more good requests than requests in total" });
    return counts;
}

Result<BurnRow, BurnCodecError> decodeRow(const Json::Value& value)
{
    bool wellFormed = value.isObject() && value["service"].isString() && value["team"].isString()
        && value["objectivePercent"].isDouble() && value["windows"].isObject();
    if (!wellFormed)
        return failure(BurnCodecError {
            "a row needs the strings service and team, the number objectivePercent and the object windows" });
    BurnRow row { ServiceId(value["service"].asString()), TeamId(value["team"].asString()),
        value["objectivePercent"].asDouble(), {} };
    if (row.objectivePercent <= 0 || row.objectivePercent >= 100)
        return failure(
            BurnCodecError { "objectivePercent: an objective must be more than 0 and less than 100 percent" });
    for (const auto& [window, name] : EnumNames<BurnWindow>::table) {
        BOOST_OUTCOME_TRY(counts, decodeCounts(value["windows"][std::string(name)]));
        row.windows[static_cast<std::size_t>(window)] = counts;
    }
    return row;
}

} // namespace

std::string encodeBurnRows(const std::vector<BurnRow>& rows)
{
    Json::Value root;
    root["rows"] = Json::Value(Json::arrayValue);
    for (const auto& row : rows)
        root["rows"].append(encodeRow(row));
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root);
}

Result<std::vector<BurnRow>, BurnCodecError> decodeBurnRows(std::string_view json)
{
    Json::Value root;
    std::string errors;
    std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(json.data(), json.data() + json.size(), &root, &errors))
        return failure(BurnCodecError { errors });
    if (!root.isObject() || !root["rows"].isArray())
        return failure(BurnCodecError { "the array rows is missing" });
    std::vector<BurnRow> rows;
    for (const auto& value : root["rows"]) {
        BOOST_OUTCOME_TRY(row, decodeRow(value));
        rows.push_back(row);
    }
    return rows;
}

} // namespace Greengage
