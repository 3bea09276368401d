#include <config/errors/ConfigErrors.h>

#include <algorithm>

namespace Greengage {

void ConfigErrors::sortByLine() { std::ranges::stable_sort(this->list, {}, &ConfigError::line); }

std::string ConfigErrors::describe(std::string_view file) const
{
    std::string text;
    for (const auto& error : this->list) {
        text += file;
        text += ':';
        if (error.line > 0)
            text += std::to_string(error.line) + ":";
        text += ' ';
        if (!error.section.empty())
            text += "[" + error.section + "] ";
        if (!error.key.empty())
            text += error.key + ": ";
        text += error.message + "\n";
    }
    return text;
}

} // namespace Greengage
