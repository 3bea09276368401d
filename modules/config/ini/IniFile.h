#pragma once

#include <config/errors/ConfigErrors.h>
#include <config/ini/IniSection.h>

#include <vector>

namespace Greengage {

/// The sections of an INI text, and what stands in it that is not INI.
struct IniFile {
    std::vector<IniSection> sections;
    ConfigErrors errors;

    /// The section of that name. If it is absent, an empty one without a line, so that its missing keys are reported.
    IniSection sectionOrEmpty(std::string_view name) const;
};

} // namespace Greengage
