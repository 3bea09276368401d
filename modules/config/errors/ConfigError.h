#pragma once

#include <string>

namespace Greengage {

/// One thing that is wrong with a document or with a settings file.
struct ConfigError {
    /// Header of the section, such as "team dispatch"; empty for a line outside every section.
    std::string section;
    /// Key within the section; empty if the whole section is meant.
    std::string key;
    /// Line in the text, from 1; 0 if the fault has no single line.
    int line = 0;
    /// What is wrong and what would be right.
    std::string message;

    friend bool operator==(const ConfigError&, const ConfigError&) = default;
};

} // namespace Greengage
