#include <cli/commands/HistoryCommand.h>

#include <cli/commands/CommandSupport.h>
#include <cli/output/TextTable.h>
#include <config/document/DocumentCodec.h>
#include <config/json/JsonText.h>

#include <CLI/CLI.hpp>
#include <ctime>

namespace Greengage {

namespace {

constexpr int defaultCount = 32;
constexpr std::int64_t millisecondsPerSecond = 1000;

std::string formatUtc(std::int64_t unixMilliseconds)
{
    auto seconds = static_cast<std::time_t>(unixMilliseconds / millisecondsPerSecond);
    std::tm fields {};
    gmtime_r(&seconds, &fields);
    char text[sizeof "0000-00-00T00:00:00Z"] = "";
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &fields);
    return text;
}

std::string formatSections(const std::vector<std::string>& sections)
{
    std::string text;
    for (const auto& section : sections)
        text += (text.empty() ? "[" : " [") + section + "]";
    return text.empty() ? "(comments only)" : text;
}

} // namespace

CLI::App* HistoryCommand::declare(CLI::App& parent)
{
    this->count = defaultCount;
    auto* command
        = parent.add_subcommand("history", "List the changes with time, author and changed sections, newest first");
    command->add_option("--count", this->count, "Number of changes to list; only the newest 32 are kept")
        ->check(CLI::PositiveNumber);
    command->footer("Example: greengagectl history --count 5");
    return command;
}

Result<ExitCode, CommandError> HistoryCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    BOOST_OUTCOME_TRY(record, CommandSupport::toCommandResult(client->readDocument()));
    if (record.changes.size() > static_cast<std::size_t>(this->count))
        record.changes.resize(static_cast<std::size_t>(this->count));
    if (context.options.json) {
        context.out << writeJson(DocumentCodec::toJson(record)["changes"]) << "\n";
        return ExitCode::Done;
    }
    TextTable table({ "REVISION", "ACCEPTED", "AUTHOR", "SECTIONS" });
    for (const auto& change : record.changes) {
        table.add({ std::to_string(change.revision), formatUtc(change.acceptedAtUnixMilliseconds), change.author,
            formatSections(change.sections) });
    }
    context.out << table.text();
    return ExitCode::Done;
}

} // namespace Greengage
