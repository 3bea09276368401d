#pragma once

#include <config/errors/ConfigErrors.h>
#include <config/ini/IniSection.h>

#include <vector>

namespace Greengage {

/// The sections of an INI text, and what stands in it that is not INI.
struct IniFile {
    std::vector<IniSection> sections;
    ConfigErrors errors;
};

} // namespace Greengage
