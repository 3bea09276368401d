#include <jobs/codec/CompactJson.h>

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace Greengage {

std::string toCompactJson(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder made;
        made["indentation"] = "";
        made["emitUTF8"] = true;
        return made;
    }();
    return Json::writeString(builder, value);
}

std::optional<Json::Value> parseJsonObject(std::string_view text)
{
    static const Json::CharReaderBuilder builder = [] {
        Json::CharReaderBuilder made;
        made["collectComments"] = false;
        made["allowComments"] = false;
        made["failIfExtra"] = true;
        made["stackLimit"] = 32;
        return made;
    }();
    static const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject())
            return std::nullopt;
    } catch (const Json::Exception&) {
        // jsoncpp throws if the nesting exceeds its limit. Such a text counts as malformed, too.
        return std::nullopt;
    }
    return value;
}

} // namespace Greengage
