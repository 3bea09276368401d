#pragma once

#include <json/value.h>
#include <optional>
#include <string>

namespace Greengage {

/// Parses a JSON object; nothing if the text is anything else.
std::optional<Json::Value> parseJsonObject(const std::string& text);

/// Formats JSON on a single line.
std::string toJsonText(const Json::Value&);

} // namespace Greengage
