#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// Settings of the HTTP server for operators, with the salted digest of the operators' key.
struct AdminSettings {
    std::uint16_t port = 0;
    std::string keySalt;
    /// SHA-256 of the salt followed by the key, in hexadecimal digits.
    std::string keyDigest;
};

} // namespace Greengage
