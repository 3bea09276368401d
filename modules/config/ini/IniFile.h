#pragma once

#include <config/errors/ConfigErrors.h>
#include <config/ini/IniSection.h>

#include <vector>

namespace Greengage {

/// The sections of an INI text, and the errors for lines that are not valid INI.
struct IniFile {
    std::vector<IniSection> sections;
    ConfigErrors errors;

    /// Returns the first section with that header. If there is none, returns an empty section with line 0, so that its
    /// required keys are reported as missing.
    IniSection sectionOrEmpty(std::string_view name) const;
};

} // namespace Greengage
