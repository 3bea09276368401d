#pragma once

#include <config/json/CodecError.h>
#include <core/errors/Result.h>

#include <json/value.h>
#include <string>
#include <string_view>

namespace Greengage {

/// Parses one JSON value. Rejects duplicate members, trailing text, deep nesting and text for which `isBmpUtf8` is
/// false.
Result<Json::Value, CodecError> parseJson(std::string_view text);

/// Writes a JSON value as one line.
std::string writeJson(const Json::Value&);

} // namespace Greengage
