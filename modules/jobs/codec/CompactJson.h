#pragma once

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// Returns the value as JSON on one line without spaces.
std::string toCompactJson(const Json::Value&);

/// Parses a JSON object. Returns nullopt if the text is anything else. Numbers, strings and nesting are bounded by the
/// size of the text.
std::optional<Json::Value> parseJsonObject(std::string_view text);

} // namespace Greengage
