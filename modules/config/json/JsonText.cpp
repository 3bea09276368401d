#include <config/json/JsonText.h>

#include <config/json/Utf8.h>

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace Greengage {

namespace {

constexpr int maxNestingDepth = 32;

} // namespace

Result<Json::Value, CodecError> parseJson(std::string_view text)
{
    if (!isBmpUtf8(text))
        return CodecError { "not valid JSON: the text is not UTF-8 with characters up to U+FFFF" };
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maxNestingDepth;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return CodecError { "not valid JSON: " + errors };
    } catch (const Json::Exception& exception) {
        return CodecError { std::string("not valid JSON: ") + exception.what() };
    }
    return value;
}

std::string writeJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    // jsoncpp 1.9.5 escapes characters of four bytes in UTF-8 in a form that decodes to other characters.
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

} // namespace Greengage
