#include <cli/commands/CheckCommand.h>

#include <cli/commands/CommandSupport.h>
#include <cli/commands/WorkingCopy.h>
#include <config/admin/AdminCodec.h>

#include <CLI/CLI.hpp>

namespace Greengage {

CLI::App* CheckCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("check", "Validate a document without contacting a daemon");
    command->add_option("file", this->file, "The document; - reads standard input")->required();
    command->footer("Example: greengagectl check document.ini");
    return command;
}

Result<ExitCode, CommandError> CheckCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(content, CommandSupport::readFile(this->file));
    auto copy = WorkingCopy::parse(content);
    if (auto errors = CommandSupport::findErrors(copy, this->file))
        return std::move(*errors);
    if (context.options.json)
        context.out << AdminCodec::encodeErrors({}) << "\n";
    else
        context.out << this->file << ": no faults\n";
    return ExitCode::Done;
}

} // namespace Greengage
