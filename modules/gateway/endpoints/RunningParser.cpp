#include <gateway/endpoints/RunningParser.h>

#include <config/json/JsonText.h>

#include <json/value.h>

namespace Greengage {

namespace {

constexpr Json::ArrayIndex maxRunning = 1024;

bool hasString(const Json::Value& object, const char* name) { return object[name].isString(); }

} // namespace

Result<std::vector<RunningWork>, GatewayError> parseRunning(const std::string& body)
{
    auto parsed = parseJson(body);
    if (!parsed.has_value())
        return failure(GatewayError { parsed.error().message });
    const Json::Value& root = parsed.value();
    if (!root.isObject() || !root["running"].isArray() || root["running"].size() > maxRunning)
        return failure(GatewayError { "\"running\" must be an array of at most 1024 entries" });
    std::vector<RunningWork> running;
    for (const Json::Value& item : root["running"]) {
        if (!item.isObject() || !hasString(item, "request") || !hasString(item, "team")
            || !hasString(item, "incarnation"))
            return failure(GatewayError { "an entry of \"running\" lacks \"request\", \"team\" or \"incarnation\"" });
        running.push_back({ RequestId(item["request"].asString()), TeamId(item["team"].asString()),
            IncarnationId(item["incarnation"].asString()) });
    }
    return running;
}

} // namespace Greengage
