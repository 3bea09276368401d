#pragma once

#include <config/json/CodecError.h>

#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace Greengage {

/// Reads the typed members of a JSON object. A missing or mistyped member is written into the error, unless an earlier
/// one stands there, and an empty value is returned in its place; test the error when all is read.
class MemberReader {
public:
    /// Both must outlive the reader.
    MemberReader(const Json::Value& object, CodecError& error);

    std::string text(const char* name);
    bool flag(const char* name);
    int integer(const char* name);
    std::int64_t whole(const char* name);
    /// A whole number that is not negative.
    std::uint64_t count(const char* name);
    std::vector<std::string> texts(const char* name);
    /// The entries of an array; empty if it is missing.
    const Json::Value& list(const char* name);

    /// A reader of an object within this one, which reports into the same error.
    MemberReader inner(const Json::Value& object) const { return { object, this->error }; }

private:
    const Json::Value& member(const char* name, bool (Json::Value::*isWanted)() const, const char* wanted);

    const Json::Value& object;
    CodecError& error;
};

} // namespace Greengage
