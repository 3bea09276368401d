#include <config/json/JsonText.h>

#include <config/json/Utf8.h>

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace Greengage {

namespace {

constexpr int maxNesting = 32;

} // namespace

Result<Json::Value, CodecError> parseJson(std::string_view text)
{
    if (!isPlainUtf8(text))
        return CodecError { "not JSON: the text is not plain UTF-8" };
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maxNesting;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return CodecError { "not JSON: " + errors };
    } catch (const Json::Exception& exception) {
        return CodecError { std::string("not JSON: ") + exception.what() };
    }
    return value;
}

std::string writeJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    // The escapes that jsoncpp 1.9.5 writes for characters of four bytes do not decode to the same character.
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

} // namespace Greengage
