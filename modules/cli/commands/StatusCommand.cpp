#include <cli/commands/StatusCommand.h>

#include <cli/commands/CommandSupport.h>
#include <cli/output/TextTable.h>
#include <config/admin/StatusCodec.h>

#include <CLI/CLI.hpp>
#include <map>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

/// Key by which endpoints are counted.
struct ServiceState {
    std::string service;
    std::string state;

    friend auto operator<=>(const ServiceState&, const ServiceState&) = default;
};

struct EndpointCount {
    int endpoints = 0;
    int running = 0;
};

void printSummary(std::ostream& out, const StatusReport& status)
{
    out << fmt::format("reported by {}: revision {}, in force everywhere up to revision {}\n", status.daemon.string(),
        status.revision, status.inForceRevision);
    out << (status.storeReachable ? "store: reachable\n" : "store: not reachable\n");
    out << (status.fresh ? "configuration: fresh, keyed queues are served\n"
                         : "configuration: may be out of date, keyed queues are refused\n");
}

void printDaemons(std::ostream& out, const StatusReport& status)
{
    TextTable table({ "DAEMON", "ZONE", "REVISION", "HEARD" });
    for (const auto& daemon : status.daemons) {
        table.add({ daemon.daemon.string(), daemon.zone.string(), std::to_string(daemon.revision),
            fmt::format("{:.1f} s ago", static_cast<double>(daemon.lastSeenMillisecondsAgo) / 1000) });
    }
    out << "\n" << table.text();
}

void printWaves(std::ostream& out, const StatusReport& status)
{
    TextTable table({ "WAVE", "STATE", "DONE", "REMAINING", "STUCK" });
    for (const auto& wave : status.waves) {
        std::string stuck;
        for (const auto& vm : wave.stuck)
            stuck += (stuck.empty() ? "" : " ") + vm.string();
        table.add({ wave.wave.string(), wave.state, std::to_string(wave.done), std::to_string(wave.remaining),
            stuck.empty() ? "-" : stuck });
    }
    if (!table.isEmpty())
        out << "\n" << table.text();
}

void printServices(std::ostream& out, const StatusReport& status)
{
    std::map<ServiceState, EndpointCount> counts;
    for (const auto& endpoint : status.endpoints) {
        auto& count = counts[{ endpoint.service.string(), endpoint.state }];
        count.endpoints += 1;
        count.running += endpoint.running;
    }
    TextTable table({ "SERVICE", "STATE", "ENDPOINTS", "RUNNING" });
    for (const auto& [key, count] : counts)
        table.add({ key.service, key.state, std::to_string(count.endpoints), std::to_string(count.running) });
    if (!table.isEmpty())
        out << "\n" << table.text();
}

void printEndpoints(std::ostream& out, const StatusReport& status)
{
    TextTable table({ "ENDPOINT", "SERVICE", "STATE", "RUNNING" });
    for (const auto& endpoint : status.endpoints)
        table.add(
            { endpoint.vm.string(), endpoint.service.string(), endpoint.state, std::to_string(endpoint.running) });
    if (!table.isEmpty())
        out << "\n" << table.text();
}

} // namespace

CLI::App* StatusCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("status",
        "Show the revision in force, the daemons and their revisions, the store, waves and endpoints, as reported by "
        "one daemon");
    command->add_flag("--endpoints", this->listEndpoints, "List every endpoint instead of counts by service");
    command->footer("Example: greengagectl status --endpoints");
    return command;
}

Result<ExitCode, CommandError> StatusCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    BOOST_OUTCOME_TRY(status, CommandSupport::toCommandResult(client->readStatus()));
    if (context.options.json) {
        context.out << StatusCodec::encode(status) << "\n";
        return ExitCode::Done;
    }
    printSummary(context.out, status);
    printDaemons(context.out, status);
    printWaves(context.out, status);
    if (this->listEndpoints)
        printEndpoints(context.out, status);
    else
        printServices(context.out, status);
    return ExitCode::Done;
}

} // namespace Greengage
