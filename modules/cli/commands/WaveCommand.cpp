#include <cli/commands/WaveCommand.h>

#include <cli/commands/CommandSupport.h>
#include <config/ini/SectionReader.h>

#include <CLI/CLI.hpp>

namespace Greengage {

WaveCommand::WaveCommand(std::string verb, std::string description)
    : verb(std::move(verb))
    , description(std::move(description))
{
}

CLI::App* WaveCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand(this->verb, this->description);
    command->add_option("wave", this->wave, "Name of the wave in the document")->required();
    command->footer("Example: greengagectl wave " + this->verb + " kernel-update");
    return command;
}

Result<ExitCode, CommandError> WaveCommand::run(CommandContext& context)
{
    if (!SectionReader::isName(this->wave))
        return CommandError { ExitCode::Usage, "\"" + this->wave + "\": " + SectionReader::nameRule(), {} };
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    BOOST_OUTCOME_TRY(
        answer, CommandSupport::toCommandResult(client->post("/v1/waves/" + this->wave + "/" + this->verb, "{}")));
    if (context.options.json)
        context.out << answer.body << "\n";
    else
        context.out << "wave " << this->wave << ": " << this->verb
                    << " accepted; run \"status\" to follow its progress\n";
    return ExitCode::Done;
}

} // namespace Greengage
