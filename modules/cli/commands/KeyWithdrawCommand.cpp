#include <cli/commands/KeyWithdrawCommand.h>

#include <cli/commands/CommandSupport.h>
#include <config/acceptance/DocumentSubmission.h>
#include <config/merge/TextBlocks.h>
#include <core/text/Digest.h>

#include <CLI/CLI.hpp>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr std::size_t changeIdBytes = 16;

} // namespace

CLI::App* KeyWithdrawCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("withdraw",
        "Remove a key from the document. The key has stopped working everywhere once the change is in force");
    command->add_option("name", this->name, "Name of the key in the document")->required();
    command
        ->add_option(
            "--author", this->author, "Author of the change, shown in the history; defaults to the user's name")
        ->envname("GREENGAGE_AUTHOR");
    command->footer("Example: greengagectl key withdraw booking-1");
    return command;
}

Result<ExitCode, CommandError> KeyWithdrawCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(authorName, CommandSupport::resolveAuthor(this->author));
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    BOOST_OUTCOME_TRY(record, CommandSupport::toCommandResult(client->readDocument()));
    auto blocks = splitIntoBlocks(record.text);
    auto removed = std::erase_if(blocks, [&](const TextBlock& block) { return block.header == "key " + this->name; });
    if (removed == 0)
        return CommandError { ExitCode::Refused, fmt::format("the document has no [key {}]", this->name), {} };
    DocumentSubmission submission { randomHex(changeIdBytes), authorName, record.revision, joinBlocks(blocks) };
    return CommandSupport::submitAndWait(context, *client, submission, "withdrawal of key " + this->name);
}

} // namespace Greengage
