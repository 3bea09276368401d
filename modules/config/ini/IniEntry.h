#pragma once

#include <config/ini/Located.h>

#include <string>
#include <vector>

namespace Greengage {

/// One "key = value" of an INI section. Indented lines below it continue its value.
struct IniEntry {
    std::string key;
    /// Line of the key, from 1.
    int line = 0;
    /// The value: the rest of the key's own line, then the lines that continue it.
    std::vector<Located<std::string>> lines;
};

} // namespace Greengage
