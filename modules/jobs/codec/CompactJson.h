#pragma once

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// The value as JSON on one line without spaces.
std::string toCompactJson(const Json::Value&);

/// The JSON object in the text; nothing if the text is no JSON object. Numbers, strings and nesting are bounded by the
/// size of the text.
std::optional<Json::Value> parseJsonObject(std::string_view text);

} // namespace Greengage
