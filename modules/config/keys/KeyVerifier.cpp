#include <config/keys/KeyVerifier.h>

#include <config/model/Document.h>
#include <core/text/Digest.h>

#include <string>

namespace Greengage {

namespace {

/// Maximum length of a key in bytes, so that a caller cannot make the daemon hash long texts.
constexpr std::size_t maxKeyBytes = 512;

} // namespace

KeyVerifier::KeyVerifier(const Document& document)
{
    for (const auto& key : document.keys)
        this->keys.emplace(key.name, key);
}

std::optional<VerifiedKey> KeyVerifier::verify(std::string_view key) const
{
    auto dot = key.find('.');
    if (dot == std::string_view::npos || key.size() > maxKeyBytes)
        return std::nullopt;
    auto secret = key.substr(dot + 1);
    auto found = this->keys.find(KeyId(std::string(key.substr(0, dot))));
    if (found == this->keys.end()) {
        // Computes a digest for an unknown name as well, so that it takes as long as a known one.
        KeyVerifier::matches(secret, {}, {});
        return std::nullopt;
    }
    const auto& known = found->second;
    if (!KeyVerifier::matches(secret, known.salt, known.digest))
        return std::nullopt;
    return VerifiedKey { known.name, known.team };
}

bool KeyVerifier::matches(std::string_view secret, std::string_view salt, std::string_view digest)
{
    std::string salted(salt);
    salted += secret;
    return equalInConstantTime(sha256Hex(salted), digest);
}

} // namespace Greengage
