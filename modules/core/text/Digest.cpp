#include <core/text/Digest.h>

#include <core/checks/Assertion.h>

#include <array>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <vector>

namespace Greengage {

namespace {

std::string toHex(const unsigned char* bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(count * 2);
    for (std::size_t index = 0; index < count; ++index) {
        text.push_back(digits[bytes[index] >> 4]);
        text.push_back(digits[bytes[index] & 15]);
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex(std::size_t byteCount)
{
    std::vector<unsigned char> bytes(byteCount);
    assertInvariant(RAND_bytes(bytes.data(), static_cast<int>(byteCount)) == 1, "random bytes are available");
    return toHex(bytes.data(), bytes.size());
}

} // namespace Greengage
