#include <cli/commands/DiffCommand.h>

#include <cli/commands/CommandSupport.h>
#include <cli/commands/WorkingCopy.h>
#include <config/json/JsonText.h>
#include <config/merge/DocumentDiff.h>
#include <config/merge/SectionMerge.h>

#include <CLI/CLI.hpp>

namespace Greengage {

namespace {

Json::Value textOrNull(const std::optional<std::string>& text) { return text ? Json::Value(*text) : Json::Value(); }

Json::Value toJson(const std::vector<SectionChange>& changes)
{
    Json::Value json(Json::arrayValue);
    for (const auto& change : changes) {
        Json::Value entry(Json::objectValue);
        entry["section"] = change.section;
        entry["change"] = std::string(nameOf(change.kind));
        entry["keys"] = Json::Value(Json::arrayValue);
        for (const auto& key : change.keys) {
            Json::Value keyEntry(Json::objectValue);
            keyEntry["key"] = key.key;
            keyEntry["before"] = textOrNull(key.before);
            keyEntry["after"] = textOrNull(key.after);
            entry["keys"].append(keyEntry);
        }
        json.append(entry);
    }
    return json;
}

void printChanges(std::ostream& out, const std::vector<SectionChange>& changes)
{
    for (const auto& change : changes) {
        out << "[" << change.section << "] " << nameOf(change.kind) << "\n";
        for (const auto& key : change.keys) {
            if (key.before)
                out << "  - " << key.key << " = " << *key.before << "\n";
            if (key.after)
                out << "  + " << key.key << " = " << *key.after << "\n";
        }
    }
}

} // namespace

CLI::App* DiffCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("diff",
        "Show the differences by section and key between a working copy and its base revision, or the newest document "
        "if it names none");
    command->add_option("file", this->file, "The working copy; - reads standard input")->required();
    command->footer("Exits with 0 if nothing differs, 1 if something does.\nExample: greengagectl diff document.ini");
    return command;
}

Result<ExitCode, CommandError> DiffCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(content, CommandSupport::readFile(this->file));
    auto copy = WorkingCopy::parse(content);
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    BOOST_OUTCOME_TRY(record, CommandSupport::toCommandResult(client->readDocument()));
    auto revision = copy.baseRevision.value_or(record.revision);
    BOOST_OUTCOME_TRY(base, CommandSupport::readRevision(*client, record, revision));
    auto changes = DocumentDiff::compare(base, copy.text);
    auto meanwhile = changedSections(base, record.text);
    if (context.options.json) {
        Json::Value json(Json::objectValue);
        json["baseRevision"] = Json::UInt64(revision);
        json["newestRevision"] = Json::UInt64(record.revision);
        json["sections"] = toJson(changes);
        json["changedMeanwhile"] = Json::Value(Json::arrayValue);
        for (const auto& section : meanwhile)
            json["changedMeanwhile"].append(section);
        context.out << writeJson(json) << "\n";
    } else {
        printChanges(context.out, changes);
        for (const auto& section : meanwhile)
            context.out << "changed by others meanwhile, up to revision " << record.revision << ": [" << section
                        << "]\n";
    }
    return changes.empty() ? ExitCode::Done : ExitCode::Different;
}

} // namespace Greengage
