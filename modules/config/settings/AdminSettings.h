#pragma once

#include <cstdint>
#include <string>

namespace Greengage {

/// The HTTP server that operators connect to, and the salted digest of the operators' key.
struct AdminSettings {
    std::uint16_t port = 0;
    std::string keySalt;
    /// SHA-256 of the salt followed by the key, in hexadecimal digits.
    std::string keyDigest;
};

} // namespace Greengage
