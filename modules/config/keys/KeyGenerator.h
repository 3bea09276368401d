#pragma once

#include <config/keys/GeneratedKey.h>

#include <string>

namespace Greengage {

/// Generates keys with random secrets and salts.
class KeyGenerator {
public:
    static constexpr std::size_t secretBytes = 32;
    static constexpr std::size_t saltBytes = 16;

    static GeneratedKey generate(const KeyId& name, const TeamId& team, const std::string& owner);

    /// Returns the section that adds a key to a document: its header and its keys, ending with a newline.
    static std::string sectionText(const AccessKey&);
};

} // namespace Greengage
