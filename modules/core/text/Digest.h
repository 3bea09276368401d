#pragma once

#include <string>
#include <string_view>

namespace Greengage {

/// Returns the SHA-256 digest of the bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// Compares two strings in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// Returns `byteCount` cryptographically secure random bytes, each as two lower-case hexadecimal digits.
std::string randomHex(std::size_t byteCount);

} // namespace Greengage
