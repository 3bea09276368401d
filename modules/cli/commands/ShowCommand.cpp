#include <cli/commands/ShowCommand.h>

#include <cli/commands/CommandSupport.h>
#include <cli/commands/WorkingCopy.h>
#include <config/document/DocumentCodec.h>

#include <CLI/CLI.hpp>

namespace Greengage {

CLI::App* ShowCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("show",
        "Print the newest document. Its first line names the revision and the daemons that have applied it; \"apply\" "
        "reads the base revision from that line");
    command->add_option("--revision", this->revision, "Print this earlier revision instead")
        ->check(CLI::NonNegativeNumber);
    command->footer("Example: greengagectl show > document.ini");
    return command;
}

Result<ExitCode, CommandError> ShowCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    BOOST_OUTCOME_TRY(record, CommandSupport::toCommandResult(client->readDocument()));
    auto shownRevision = this->revision < 0 ? record.revision : static_cast<std::uint64_t>(this->revision);
    if (shownRevision == record.revision && context.options.json) {
        context.out << DocumentCodec::encode(record) << "\n";
        return ExitCode::Done;
    }
    BOOST_OUTCOME_TRY(text, CommandSupport::readRevision(*client, record, shownRevision));
    if (shownRevision == record.revision) {
        BOOST_OUTCOME_TRY(status, CommandSupport::toCommandResult(client->readStatus()));
        context.out << WorkingCopy::revisionLine(shownRevision, status) << text;
    } else {
        context.out << WorkingCopy::olderRevisionLine(shownRevision, record.revision) << text;
    }
    return ExitCode::Done;
}

} // namespace Greengage
