#include <cli/commands/ShowCommand.h>

#include <cli/commands/CommandSupport.h>
#include <cli/commands/WorkingCopy.h>
#include <config/document/DocumentCodec.h>

#include <CLI/CLI.hpp>

namespace Greengage {

CLI::App* ShowCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("show",
        "Print the newest document. Its first line says which revision it is and which daemons have it; \"apply\" "
        "reads "
        "the revision from there");
    command->add_option("--revision", this->revision, "Print an earlier revision")->check(CLI::NonNegativeNumber);
    command->footer("Example: greengagectl show > document.ini");
    return command;
}

Result<ExitCode, CommandError> ShowCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(client, CommandSupport::connect(context));
    BOOST_OUTCOME_TRY(record, CommandSupport::translate(client->readDocument()));
    auto wanted = this->revision < 0 ? record.revision : static_cast<std::uint64_t>(this->revision);
    if (wanted == record.revision && context.options.json) {
        context.out << DocumentCodec::encode(record) << "\n";
        return ExitCode::Done;
    }
    BOOST_OUTCOME_TRY(text, CommandSupport::readRevision(*client, record, wanted));
    if (wanted == record.revision) {
        BOOST_OUTCOME_TRY(status, CommandSupport::translate(client->readStatus()));
        context.out << WorkingCopy::revisionLine(wanted, status) << text;
    } else {
        context.out << WorkingCopy::olderRevisionLine(wanted, record.revision) << text;
    }
    return ExitCode::Done;
}

} // namespace Greengage
