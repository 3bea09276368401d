#pragma once

#include <config/json/CodecError.h>
#include <core/errors/Result.h>

#include <json/value.h>
#include <string>
#include <string_view>

namespace Greengage {

/// Parses one JSON value. Duplicate members, trailing text, deep nesting and text that is not plain UTF-8 are refused.
Result<Json::Value, CodecError> parseJson(std::string_view text);

/// Writes a JSON value on one line.
std::string writeJson(const Json::Value&);

} // namespace Greengage
