#pragma once

#include <config/keys/KeyHolder.h>
#include <config/model/AccessKey.h>

#include <optional>
#include <string_view>
#include <unordered_map>

namespace Greengage {

struct Document;

/// Tells which team a caller's key belongs to. It holds the keys of one revision of the document, so it is made anew
/// with each applied revision, and a key that the revision does not hold is refused from then on.
class KeyVerifier {
public:
    /// Verifies nothing.
    KeyVerifier() = default;
    explicit KeyVerifier(const Document&);

    /// `key` is what the caller has shown, "<name>.<secret>". Neither a wrong name nor a wrong secret shows in the
    /// time that the check takes.
    std::optional<KeyHolder> verify(std::string_view key) const;

    /// Whether `secret` belongs to a salt and digest, compared in constant time.
    static bool matches(std::string_view secret, std::string_view salt, std::string_view digest);

private:
    std::unordered_map<KeyId, AccessKey> keys;
};

} // namespace Greengage
