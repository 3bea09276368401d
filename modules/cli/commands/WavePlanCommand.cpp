#include <cli/commands/WavePlanCommand.h>

#include <cli/commands/CommandSupport.h>
#include <cli/output/JsonOutline.h>
#include <config/ini/SectionReader.h>
#include <config/json/JsonText.h>

#include <CLI/CLI.hpp>

namespace Greengage {

CLI::App* WavePlanCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("plan",
        "Show the plan of a wave without starting it: the order of VMs, the expected duration and the buffer VMs");
    command->add_option("wave", this->wave, "Name of the wave in the document")->required();
    command->footer("Example: greengagectl wave plan kernel-update");
    return command;
}

Result<ExitCode, CommandError> WavePlanCommand::run(CommandContext& context)
{
    if (!SectionReader::isName(this->wave))
        return CommandError { ExitCode::Usage, "\"" + this->wave + "\": " + SectionReader::nameRule(), {} };
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    BOOST_OUTCOME_TRY(answer, CommandSupport::toCommandResult(client->get("/v1/waves/" + this->wave + "/plan")));
    if (context.options.json) {
        context.out << answer.body << "\n";
        return ExitCode::Done;
    }
    auto plan = parseJson(answer.body);
    if (plan.has_error())
        return CommandError { ExitCode::Refused, "the daemon's plan could not be decoded: " + plan.error().message,
            {} };
    context.out << outlineJson(plan.value());
    return ExitCode::Done;
}

} // namespace Greengage
