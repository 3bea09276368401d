#pragma once

#include <config/errors/ConfigErrors.h>
#include <config/settings/DaemonSettings.h>
#include <core/errors/Result.h>

#include <string>
#include <string_view>

namespace Greengage {

/// Parses and validates the settings of a daemon. All errors (unknown sections and keys, missing keys, wrong types and
/// values out of range) are returned together; `ConfigErrors::describe` formats them with the file's name.
class SettingsParser {
public:
    Result<DaemonSettings, ConfigErrors> parse(std::string_view text) const;

    /// Reads and parses a file. A file that cannot be read, is empty or is larger than `maxSettingsBytes` yields an
    /// error with line 0.
    Result<DaemonSettings, ConfigErrors> parseFile(const std::string& path) const;
};

} // namespace Greengage
