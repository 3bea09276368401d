#include <config/keys/KeyGenerator.h>

#include <core/text/Digest.h>

#include <spdlog/fmt/fmt.h>

namespace Greengage {

GeneratedKey KeyGenerator::generate(const KeyId& name, const TeamId& team, const std::string& owner)
{
    auto secret = randomHex(KeyGenerator::secretBytes);
    GeneratedKey key;
    key.stored.name = name;
    key.stored.team = team;
    key.stored.owner = owner;
    key.stored.salt = randomHex(KeyGenerator::saltBytes);
    key.stored.digest = sha256Hex(key.stored.salt + secret);
    key.presentedKey = name.string() + "." + secret;
    return key;
}

std::string KeyGenerator::sectionText(const AccessKey& key)
{
    return fmt::format("[key {}]\nowner = {}\nteam = {}\nsalt = {}\ndigest = {}\n", key.name.string(), key.owner,
        key.team.string(), key.salt, key.digest);
}

} // namespace Greengage
