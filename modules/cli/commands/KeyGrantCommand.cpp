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

CommandError refused(std::string message) { return { ExitCode::Refused, std::move(message), {} }; }

void printKey(CommandContext& context, const GeneratedKey& key)
{
    if (!context.options.json) {
        context.out << "key, shown only this once: " << key.shown << "\n";
        return;
    }
    Json::Value json(Json::objectValue);
    json["key"] = key.shown;
    context.out << writeJson(json) << "\n";
}

} // namespace

CLI::App* KeyGrantCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("grant",
        "Make a key for a team, put its salted digest into the document, and print the key once it is accepted. The "
        "key "
        "is printed only this once");
    command->add_option("name", this->name, "Name of the new key")->required();
    command->add_option("--team", this->team, "Team whose work the key lets in")->required();
    command->add_option("--owner", this->owner, "Owner of the key's section; the author unless given");
    command->add_option("--author", this->author, "Who grants it, for history; the user's name unless given")
        ->envname("GREENGAGE_AUTHOR");
    command->footer("Example: greengagectl key grant booking-2 --team booking-desk");
    return command;
}

Result<ExitCode, CommandError> KeyGrantCommand::run(CommandContext& context)
{
    if (!SectionReader::isName(this->name))
        return CommandError { ExitCode::Usage, "\"" + this->name + "\": " + SectionReader::nameRule(), {} };
    BOOST_OUTCOME_TRY(granter, CommandSupport::authorOr(this->author));
    BOOST_OUTCOME_TRY(client, CommandSupport::connect(context));
    BOOST_OUTCOME_TRY(record, CommandSupport::translate(client->readDocument()));
    auto blocks = divideIntoBlocks(record.text);
    if (findBlock(blocks, "section key " + this->name) != nullptr)
        return refused(
            fmt::format("there is a key \"{}\" already; withdraw it first or choose another name", this->name));
    if (findBlock(blocks, "section team " + this->team) == nullptr)
        return refused(fmt::format("the document has no [team {}]", this->team));
    auto key
        = KeyGenerator::generate(KeyId(this->name), TeamId(this->team), this->owner.empty() ? granter : this->owner);
    auto text = joinBlocks(blocks) + "\n" + KeyGenerator::sectionText(key.stored);
    DocumentSubmission submission { randomHex(changeIdBytes), granter, record.revision, std::move(text) };
    // In JSON the key stands alone on the output.
    std::ostringstream progress;
    CommandContext inner { context.base, context.options.json ? progress : context.out, context.err, context.options };
    BOOST_OUTCOME_TRY(code, CommandSupport::bringIntoForce(inner, *client, submission, "key " + this->name));
    printKey(context, key);
    return code;
}

} // namespace Greengage
