#pragma once

#include <config/keys/GeneratedKey.h>

#include <string>

namespace Greengage {

/// Makes keys with random secrets.
class KeyGenerator {
public:
    static constexpr std::size_t secretBytes = 32;
    static constexpr std::size_t saltBytes = 16;

    static GeneratedKey generate(const KeyId& name, const TeamId& team, const std::string& owner);

    /// The section that puts a key into a document, with its header and a newline at its end.
    static std::string sectionText(const AccessKey&);
};

} // namespace Greengage
