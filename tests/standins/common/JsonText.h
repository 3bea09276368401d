#pragma once

#include <json/value.h>
#include <optional>
#include <string>

namespace Greengage {

/// The JSON object in the text, or nothing.
std::optional<Json::Value> parseJsonObject(const std::string& text);

/// JSON on one line.
std::string toJsonText(const Json::Value&);

} // namespace Greengage
