#pragma once

#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// A key that a team's callers show. A caller shows "<name>.<secret>"; the document holds only a salted digest.
/// Withdrawing a key removes its section.
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
