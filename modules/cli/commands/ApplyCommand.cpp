#include <cli/commands/ApplyCommand.h>

#include <cli/commands/CommandSupport.h>
#include <cli/commands/WorkingCopy.h>
#include <config/acceptance/DocumentSubmission.h>
#include <core/text/Digest.h>

#include <CLI/CLI.hpp>
#include <optional>

namespace Greengage {

namespace {

constexpr std::size_t changeIdBytes = 16;

} // namespace

CLI::App* ApplyCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("apply",
        "Put a working copy in force. Sections that others have changed meanwhile stay as they are; a section that "
        "both "
        "have changed is a conflict, and nothing is applied");
    command->add_option("file", this->file, "The working copy; - reads standard input")->required();
    command
        ->add_option(
            "--author", this->author, "Who changes it, for history and conflicts; the user's name unless given")
        ->envname("GREENGAGE_AUTHOR");
    command
        ->add_option("--base", this->baseRevision,
            "Revision that the text was edited from, if its first line does not say so; 0 for the first document")
        ->check(CLI::NonNegativeNumber);
    command->footer("Example: greengagectl show > document.ini; edit it; greengagectl apply document.ini");
    return command;
}

Result<ExitCode, CommandError> ApplyCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(content, CommandSupport::readFile(this->file));
    auto copy = WorkingCopy::parse(content);
    if (this->baseRevision >= 0)
        copy.baseRevision = static_cast<std::uint64_t>(this->baseRevision);
    if (!copy.baseRevision) {
        return CommandError { ExitCode::Usage,
            this->file
                + ": the first line does not say which revision the text was edited from; get it with \"show\", or "
                  "give --base REVISION (0 for the first document)",
            {} };
    }
    if (auto faults = CommandSupport::findFaults(copy, this->file))
        return std::move(*faults);
    BOOST_OUTCOME_TRY(name, CommandSupport::authorOr(this->author));
    BOOST_OUTCOME_TRY(client, CommandSupport::connect(context));
    DocumentSubmission submission { randomHex(changeIdBytes), name, *copy.baseRevision, copy.text };
    return CommandSupport::bringIntoForce(context, *client, submission, this->file);
}

} // namespace Greengage
