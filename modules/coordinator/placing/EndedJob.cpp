#include <coordinator/placing/EndedJob.h>

#include <jobs/codec/CompactJson.h>

namespace Greengage {

std::string EndedJob::encode() const
{
    Json::Value value(Json::objectValue);
    value["state"] = std::string(nameOf(this->state));
    value["endedMs"] = Json::Int64(this->endedUnixMs);
    return toCompactJson(value);
}

std::optional<EndedJob> EndedJob::decode(std::string_view text)
{
    auto value = parseJsonObject(text);
    if (!value || !(*value)["state"].isString() || !(*value)["endedMs"].isInt64())
        return std::nullopt;
    auto state = enumFromName<JobState>((*value)["state"].asString());
    if (!state)
        return std::nullopt;
    return EndedJob { *state, (*value)["endedMs"].asInt64() };
}

} // namespace Greengage
