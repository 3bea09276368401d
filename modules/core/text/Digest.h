#pragma once

#include <string>
#include <string_view>

namespace Greengage {

/// SHA-256 of the bytes, as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// Compares two strings in a time that depends on their lengths only.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// Cryptographically random bytes, as two lower-case hexadecimal digits each.
std::string randomHex(std::size_t byteCount);

} // namespace Greengage
