#pragma once

#include <string>

namespace Greengage {

/// One error in a document or in a settings file.
struct ConfigError {
    /// Header of the section, such as "team dispatch"; empty for a line outside every section.
    std::string section;
    /// Key within the section; empty if the error concerns the whole section.
    std::string key;
    /// Line in the text, counted from 1; 0 if the error has no single line.
    int line = 0;
    /// What is wrong and what was expected.
    std::string message;

    friend bool operator==(const ConfigError&, const ConfigError&) = default;
};

} // namespace Greengage
