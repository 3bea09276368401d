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

/// Functions shared by several commands.
namespace CommandSupport {

/// Reads a whole file; "-" means standard input.
Result<std::string, CommandError> readFile(const std::string& path);

/// Replaces the content of a file.
Result<void, CommandError> writeFile(const std::string& path, const std::string& content);

/// Validates a working copy. Returns nothing if it is valid; otherwise the errors, with line numbers of the file that
/// contains the copy.
std::optional<CommandError> findErrors(const WorkingCopy&, const std::string& file);

/// Creates a client from the daemon addresses and the key given by the options. Does not connect yet.
Result<std::unique_ptr<AdminClient>, CommandError> createClient(const CommandContext&);

/// Returns the author to record in the history: the option, or the environment variable USER if the option is empty.
Result<std::string, CommandError> resolveAuthor(const std::string& option);

/// Returns the deadline of a command that starts now, from the option --timeout.
Deadline deadlineOf(const GlobalOptions&);

/// Submits a change, waits until it is in force and prints the outcome. `subject` names the change in the output.
Result<ExitCode, CommandError> submitAndWait(
    CommandContext&, AdminClient&, const DocumentSubmission&, const std::string& subject);

/// Reads the document text of a revision. Only the newest revision and those in the stored history are available.
Result<std::string, CommandError> readRevision(AdminClient&, const DocumentRecord&, std::uint64_t revision);

/// Converts the error of a request to an admin port to a CommandError; passes a value through.
template <typename Value> Result<Value, CommandError> toCommandResult(Result<Value, AdminError> result)
{
    if (result.has_error())
        return toCommandError(result.error());
    return std::move(result.value());
}

} // namespace CommandSupport

} // namespace Greengage
