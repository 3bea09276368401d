#pragma once

#include <string_view>

namespace Greengage {

/// Whether the text is valid UTF-8, the encoding in which the store and the daemons exchange it, and lies within the
/// Basic Multilingual Plane, that is, contains no character beyond U+FFFF. jsoncpp 1.9.5, which libjsonrpccpp and
/// others use with its default settings, escapes such characters in a form that decodes to other characters.
bool isBmpUtf8(std::string_view text);

} // namespace Greengage
