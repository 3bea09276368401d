#pragma once

#include <cli/commands/CommandError.h>

namespace Greengage {

struct AdminError;
struct ConfigErrors;

/// Formats the errors of a document for display, headed by their number, without a trailing newline.
std::string describeErrors(const std::string& file, const ConfigErrors&);

/// Converts a failed request to an admin port to the exit code and message of the command that sent it.
CommandError toCommandError(const AdminError&);

} // namespace Greengage
