#pragma once

#include <cli/commands/CommandError.h>

namespace Greengage {

struct AdminError;
struct ConfigErrors;

/// A list of faults for people, headed by their number.
std::string describeFaults(const std::string& file, const ConfigErrors&);

/// What a failed call to an admin port means for the command that made it.
CommandError toCommandError(const AdminError&);

} // namespace Greengage
