#pragma once

#include <config/keys/VerifiedKey.h>
#include <config/model/AccessKey.h>

#include <optional>
#include <string_view>
#include <unordered_map>

namespace Greengage {

struct Document;

/// Verifies callers' keys and finds the teams that they belong to. It holds the keys of one revision of the document
/// and is replaced with each applied revision, so that a key removed from the document is rejected from then on.
class KeyVerifier {
public:
    /// Has no keys, so every key is rejected.
    KeyVerifier() = default;
    explicit KeyVerifier(const Document&);

    /// Verifies the text that a caller presents, "<name>.<secret>", and returns nullopt if it is not a valid key. The
    /// time taken does not reveal whether the name or the secret was wrong.
    std::optional<VerifiedKey> verify(std::string_view key) const;

    /// Whether `digest` is the digest of `salt` and `secret`, compared in constant time.
    static bool matches(std::string_view secret, std::string_view salt, std::string_view digest);

private:
    std::unordered_map<KeyId, AccessKey> keys;
};

} // namespace Greengage
