#include <gateway/endpoints/RunningParser.h>

#include <json/reader.h>
#include <json/value.h>
#include <memory>

namespace Greengage {

namespace {

constexpr Json::ArrayIndex maxRunning = 1024;

bool hasText(const Json::Value& object, const char* name) { return object[name].isString(); }

} // namespace

Result<std::vector<RunningWork>, GatewayError> parseRunning(const std::string& body)
{
    Json::CharReaderBuilder builder;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value root;
    std::string problem;
    if (!reader->parse(body.data(), body.data() + body.size(), &root, &problem))
        return failure(GatewayError { problem });
    if (!root.isObject() || !root["running"].isArray() || root["running"].size() > maxRunning)
        return failure(GatewayError { "\"running\" is not a list of at most 1024 entries" });
    std::vector<RunningWork> running;
    for (const Json::Value& item : root["running"]) {
        if (!item.isObject() || !hasText(item, "request") || !hasText(item, "team") || !hasText(item, "incarnation"))
            return failure(GatewayError { "an entry lacks request, team or incarnation" });
        running.push_back({ RequestId(item["request"].asString()), TeamId(item["team"].asString()),
            IncarnationId(item["incarnation"].asString()) });
    }
    return running;
}

} // namespace Greengage
