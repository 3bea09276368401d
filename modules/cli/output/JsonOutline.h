#pragma once

#include <string>

namespace Json {
class Value;
}

namespace Greengage {

/// A JSON object as plain text: one "name: value" line for each plain member, and a table for each list of objects. For
/// answers whose form the daemon alone decides.
std::string outlineJson(const Json::Value&);

} // namespace Greengage
