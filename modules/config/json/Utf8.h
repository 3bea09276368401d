#pragma once

#include <string_view>

namespace Greengage {

/// Whether the text is UTF-8, which the store and the daemons exchange it in, and has no character beyond U+FFFF.
/// jsoncpp 1.9.5, which libjsonrpccpp and others use as it is, writes those as escapes that decode to other characters.
bool isPlainUtf8(std::string_view text);

} // namespace Greengage
