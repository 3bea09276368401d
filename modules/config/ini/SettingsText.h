#pragma once

#include <config/errors/ConfigErrors.h>
#include <core/errors/Result.h>

#include <cstddef>
#include <string>

namespace Greengage {

/// The longest settings file that is read.
constexpr std::size_t maxSettingsBytes = 64 * 1024;

/// The text of a settings file. One that cannot be read, is empty or is longer than `maxSettingsBytes` is an error of
/// line 0.
Result<std::string, ConfigErrors> readSettingsText(const std::string& path);

} // namespace Greengage
