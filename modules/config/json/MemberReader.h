#pragma once

#include <config/json/CodecError.h>

#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace Greengage {

/// Reads the typed members of a JSON object. A missing or mistyped member sets the error, unless an earlier member has
/// set it, and an empty value is returned; check the error after all members have been read.
class MemberReader {
public:
    /// Both must outlive the reader.
    MemberReader(const Json::Value& object, CodecError& error);

    std::string string(const char* name);
    bool boolean(const char* name);
    int integer(const char* name);
    std::int64_t int64(const char* name);
    /// A non-negative whole number.
    std::uint64_t uint64(const char* name);
    std::vector<std::string> strings(const char* name);
    /// An array; empty if the member is missing.
    const Json::Value& list(const char* name);

    /// Returns a reader for an object nested in this one, which sets the same error.
    MemberReader nested(const Json::Value& object) const { return { object, this->error }; }

private:
    const Json::Value& member(const char* name, bool (Json::Value::*isExpectedType)() const, const char* expectedType);

    const Json::Value& object;
    CodecError& error;
};

} // namespace Greengage
