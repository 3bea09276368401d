#include <config/json/MemberReader.h>

namespace Greengage {

MemberReader::MemberReader(const Json::Value& object, CodecError& error)
    : object(object)
    , error(error)
{
}

const Json::Value& MemberReader::member(
    const char* name, bool (Json::Value::*isExpectedType)() const, const char* expectedType)
{
    const auto& value = this->object.isObject() ? this->object[name] : Json::Value::nullSingleton();
    if ((value.*isExpectedType)() && !value.isNull())
        return value;
    if (this->error.message.empty())
        this->error.message = std::string("member \"") + name + "\" must be " + expectedType;
    return Json::Value::nullSingleton();
}

std::string MemberReader::string(const char* name)
{
    return this->member(name, &Json::Value::isString, "a string").asString();
}

bool MemberReader::boolean(const char* name)
{
    return this->member(name, &Json::Value::isBool, "true or false").asBool();
}

int MemberReader::integer(const char* name)
{
    return this->member(name, &Json::Value::isInt, "a whole number").asInt();
}

std::int64_t MemberReader::int64(const char* name)
{
    return this->member(name, &Json::Value::isInt64, "a whole number").asInt64();
}

std::uint64_t MemberReader::uint64(const char* name)
{
    return this->member(name, &Json::Value::isUInt64, "a whole number from 0").asUInt64();
}

std::vector<std::string> MemberReader::strings(const char* name)
{
    std::vector<std::string> strings;
    for (const auto& entry : this->list(name)) {
        if (entry.isString())
            strings.push_back(entry.asString());
        else if (this->error.message.empty())
            this->error.message = std::string("the entries of \"") + name + "\" must be strings";
    }
    return strings;
}

const Json::Value& MemberReader::list(const char* name)
{
    return this->member(name, &Json::Value::isArray, "an array");
}

} // namespace Greengage
