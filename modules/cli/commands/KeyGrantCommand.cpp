#include <cli/commands/KeyGrantCommand.h>

#include <cli/commands/CommandSupport.h>
#include <config/acceptance/DocumentSubmission.h>
#include <config/ini/SectionReader.h>
#include <config/json/JsonText.h>
#include <config/keys/KeyGenerator.h>
#include <config/merge/TextBlocks.h>
#include <core/text/Digest.h>

#include <CLI/CLI.hpp>
#include <spdlog/fmt/fmt.h>
#include <sstream>

namespace Greengage {

namespace {

constexpr std::size_t changeIdBytes = 16;

CommandError refusedError(std::string message) { return { ExitCode::Refused, std::move(message), {} }; }

void printKey(CommandContext& context, const GeneratedKey& key)
{
    if (!context.options.json) {
        context.out << "key, shown only this once: " << key.presentedKey << "\n";
        return;
    }
    Json::Value json(Json::objectValue);
    json["key"] = key.presentedKey;
    context.out << writeJson(json) << "\n";
}

} // namespace

CLI::App* KeyGrantCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("grant",
        "Create a key for a team, add its salted digest to the document and print the key once it is accepted. The key "
        "cannot be printed again");
    command->add_option("name", this->name, "Name of the new key")->required();
    command->add_option("--team", this->team, "Team whose work the key authorises")->required();
    command->add_option("--owner", this->owner, "Owner of the key's section; defaults to the author");
    command
        ->add_option(
            "--author", this->author, "Author of the change, shown in the history; defaults to the user's name")
        ->envname("GREENGAGE_AUTHOR");
    command->footer("Example: greengagectl key grant booking-2 --team booking-desk");
    return command;
}

Result<ExitCode, CommandError> KeyGrantCommand::run(CommandContext& context)
{
    if (!SectionReader::isName(this->name))
        return CommandError { ExitCode::Usage, "\"" + this->name + "\": " + SectionReader::nameRule(), {} };
    BOOST_OUTCOME_TRY(authorName, CommandSupport::resolveAuthor(this->author));
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    BOOST_OUTCOME_TRY(record, CommandSupport::toCommandResult(client->readDocument()));
    auto blocks = splitIntoBlocks(record.text);
    if (findBlock(blocks, "section key " + this->name) != nullptr)
        return refusedError(
            fmt::format("the document already has a key \"{}\"; withdraw it first or choose another name", this->name));
    if (findBlock(blocks, "section team " + this->team) == nullptr)
        return refusedError(fmt::format("the document has no [team {}]", this->team));
    auto key
        = KeyGenerator::generate(KeyId(this->name), TeamId(this->team), this->owner.empty() ? authorName : this->owner);
    auto text = joinBlocks(blocks) + "\n" + KeyGenerator::sectionText(key.stored);
    DocumentSubmission submission { randomHex(changeIdBytes), authorName, record.revision, std::move(text) };
    // With --json, only the key is printed, so the output of the submission is discarded.
    std::ostringstream discarded;
    CommandContext submissionContext { context.base, context.options.json ? discarded : context.out, context.err,
        context.options };
    BOOST_OUTCOME_TRY(code, CommandSupport::submitAndWait(submissionContext, *client, submission, "key " + this->name));
    printKey(context, key);
    return code;
}

} // namespace Greengage
