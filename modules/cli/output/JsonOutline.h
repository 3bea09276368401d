#pragma once

#include <string>

namespace Json {
class Value;
}

namespace Greengage {

/// Formats a JSON object as plain text: a "name: value" line for each member, except that a member which is a list of
/// objects becomes a table after those lines. Used for answers whose structure only the daemon defines.
std::string outlineJson(const Json::Value&);

} // namespace Greengage
