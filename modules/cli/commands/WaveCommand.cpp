#include <cli/commands/WaveCommand.h>

#include <cli/commands/CommandSupport.h>
#include <config/ini/SectionReader.h>

#include <CLI/CLI.hpp>

namespace Greengage {

WaveCommand::WaveCommand(std::string verb, std::string purpose)
    : verb(std::move(verb))
    , purpose(std::move(purpose))
{
}

CLI::App* WaveCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand(this->verb, this->purpose);
    command->add_option("wave", this->wave, "Name of the wave, as the document has it")->required();
    command->footer("Example: greengagectl wave " + this->verb + " kernel-update");
    return command;
}

Result<ExitCode, CommandError> WaveCommand::run(CommandContext& context)
{
    if (!SectionReader::isName(this->wave))
        return CommandError { ExitCode::Usage, "\"" + this->wave + "\": " + SectionReader::nameRule(), {} };
    BOOST_OUTCOME_TRY(client, CommandSupport::connect(context));
    BOOST_OUTCOME_TRY(
        answer, CommandSupport::translate(client->post("/v1/waves/" + this->wave + "/" + this->verb, "{}")));
    if (context.options.json)
        context.out << answer.body << "\n";
    else
        context.out << "wave " << this->wave << ": " << this->verb
                    << " accepted; \"status\" shows how far it has come\n";
    return ExitCode::Done;
}

} // namespace Greengage
