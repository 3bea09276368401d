#include <cli/commands/WavePlanCommand.h>

#include <cli/commands/CommandSupport.h>
#include <cli/output/JsonOutline.h>
#include <config/ini/SectionReader.h>
#include <config/json/JsonText.h>

#include <CLI/CLI.hpp>

namespace Greengage {

CLI::App* WavePlanCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand(
        "plan", "Show what a wave would do without starting it: the order, the expected time and the buffer");
    command->add_option("wave", this->wave, "Name of the wave, as the document has it")->required();
    command->footer("Example: greengagectl wave plan kernel-update");
    return command;
}

Result<ExitCode, CommandError> WavePlanCommand::run(CommandContext& context)
{
    if (!SectionReader::isName(this->wave))
        return CommandError { ExitCode::Usage, "\"" + this->wave + "\": " + SectionReader::nameRule(), {} };
    BOOST_OUTCOME_TRY(client, CommandSupport::connect(context));
    BOOST_OUTCOME_TRY(answer, CommandSupport::translate(client->get("/v1/waves/" + this->wave + "/plan")));
    if (context.options.json) {
        context.out << answer.body << "\n";
        return ExitCode::Done;
    }
    auto plan = parseJson(answer.body);
    if (plan.has_error())
        return CommandError { ExitCode::Refused, "the plan was not understood: " + plan.error().message, {} };
    context.out << outlineJson(plan.value());
    return ExitCode::Done;
}

} // namespace Greengage
