#pragma once

#include <config/errors/ConfigErrors.h>
#include <core/errors/Result.h>

#include <cstddef>
#include <string>

namespace Greengage {

/// Maximum size of a settings file, in bytes.
constexpr std::size_t maxSettingsBytes = 64 * 1024;

/// Reads the text of a settings file. Returns an error with line 0 if the file cannot be read, is empty or is larger
/// than `maxSettingsBytes`.
Result<std::string, ConfigErrors> readSettingsText(const std::string& path);

} // namespace Greengage
