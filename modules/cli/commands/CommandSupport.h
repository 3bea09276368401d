#pragma once

#include <cli/admin/AdminClient.h>
#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandErrors.h>
#include <core/errors/Result.h>
#include <core/time/Deadline.h>

#include <memory>
#include <optional>
#include <string>

namespace Greengage {

struct DocumentSubmission;
struct WorkingCopy;

/// What several commands do alike.
namespace CommandSupport {

/// Reads a file whole; "-" stands for standard input.
Result<std::string, CommandError> readFile(const std::string& path);

/// Writes a file whole.
Result<void, CommandError> writeFile(const std::string& path, const std::string& content);

/// The faults of a working copy, by the lines of the file that holds it; nothing if there are none.
std::optional<CommandError> findFaults(const WorkingCopy&, const std::string& file);

/// A client for the daemons and the key that the options name.
Result<std::unique_ptr<AdminClient>, CommandError> connect(const CommandContext&);

/// The author that stands in the history: the option, or else the environment's user.
Result<std::string, CommandError> authorOr(const std::string& option);

/// The instant until which the command may try.
Deadline deadlineOf(const GlobalOptions&);

/// Submits a change, waits until it is in force, and says what came of it. `subject` names it in the message.
Result<ExitCode, CommandError> bringIntoForce(
    CommandContext&, AdminClient&, const DocumentSubmission&, const std::string& subject);

/// Reads the text that a revision left.
Result<std::string, CommandError> readRevision(AdminClient&, const DocumentRecord&, std::uint64_t revision);

/// The value of a call to an admin port, or what its failure means for the command.
template <typename Value> Result<Value, CommandError> translate(Result<Value, AdminError> result)
{
    if (result.has_error())
        return toCommandError(result.error());
    return std::move(result.value());
}

} // namespace CommandSupport

} // namespace Greengage
