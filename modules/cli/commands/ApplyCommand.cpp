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
        "Apply a working copy. Sections that only others have changed since its base revision keep their changes; a "
        "section that both have changed is a conflict, and nothing is applied");
    command->add_option("file", this->file, "The working copy; - reads standard input")->required();
    command
        ->add_option("--author", this->author,
            "Author of the change, shown in the history and in conflicts; defaults to the user's name")
        ->envname("GREENGAGE_AUTHOR");
    command
        ->add_option("--base", this->baseRevision,
            "Base revision that the text was edited from, if its first line does not say so; 0 for the first document")
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
                + ": the first line does not name the revision that the text was edited from; edit the output of "
                  "\"show\", or give --base REVISION (0 for the first document)",
            {} };
    }
    if (auto errors = CommandSupport::findErrors(copy, this->file))
        return std::move(*errors);
    BOOST_OUTCOME_TRY(authorName, CommandSupport::resolveAuthor(this->author));
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    DocumentSubmission submission { randomHex(changeIdBytes), authorName, *copy.baseRevision, copy.text };
    return CommandSupport::submitAndWait(context, *client, submission, this->file);
}

} // namespace Greengage
