#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// A key that authenticates the callers of a team. A caller presents "<name>.<secret>"; the document contains only a
/// salted digest of the secret. A key is revoked by removing its section.
struct AccessKey {
    KeyId name;
    std::string owner;
    TeamId team;
    /// Random salt in hexadecimal digits.
    std::string salt;
    /// SHA-256 of the salt followed by the secret, in hexadecimal digits.
    std::string digest;
    int line = 0;
};

} // namespace Greengage
