#include <standins/common/JsonText.h>

#include <json/json.h>
#include <memory>

namespace Greengage {

std::optional<Json::Value> parseJsonObject(const std::string& text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    if (!reader->parse(text.data(), text.data() + text.size(), &json, nullptr) || !json.isObject())
        return std::nullopt;
    return json;
}

std::string toJsonText(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

} // namespace Greengage
