#include <cli/commands/CommandLine.h>

#include <cli/commands/ApplyCommand.h>
#include <cli/commands/BurnReportCommand.h>
#include <cli/commands/CheckCommand.h>
#include <cli/commands/CommandSet.h>
#include <cli/commands/CompletionCommand.h>
#include <cli/commands/DiffCommand.h>
#include <cli/commands/HistoryCommand.h>
#include <cli/commands/KeyGrantCommand.h>
#include <cli/commands/KeyWithdrawCommand.h>
#include <cli/commands/ShowCommand.h>
#include <cli/commands/StatusCommand.h>
#include <cli/commands/WaveCommand.h>
#include <cli/commands/WavePlanCommand.h>

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr int maxTimeoutSeconds = 3600;

std::string describeExitCodes()
{
    std::string text = "Exit codes:\n";
    for (const auto& [code, name] : EnumNames<ExitCode>::table)
        text += fmt::format("  {}  {}\n", static_cast<int>(code), name);
    return text;
}

void declareGlobals(CLI::App& app, GlobalOptions& options)
{
    app.add_option("--daemon", options.daemons,
           "Admin port of a daemon, ADDRESS:PORT; give it several times, and the next is asked when one cannot be "
           "reached")
        ->envname("GREENGAGE_DAEMONS")
        ->delimiter(',')
        ->expected(1)
        ->take_all();
    app.add_option(
           "--key-file", options.keyFile, "File that holds the operators' key; otherwise GREENGAGE_KEY holds it")
        ->envname("GREENGAGE_KEY_FILE");
    app.add_option("--timeout", options.timeoutSeconds, "Seconds to keep trying and to wait until a change is in force")
        ->check(CLI::Range(1, maxTimeoutSeconds))
        ->capture_default_str();
    app.add_flag("--json", options.json, "Print JSON for scripts");
}

void declareCommands(CLI::App& app, CommandSet& commands)
{
    commands.add(app, CheckCommand());
    commands.add(app, DiffCommand());
    commands.add(app, ApplyCommand());
    commands.add(app, ShowCommand());
    commands.add(app, HistoryCommand());
    commands.add(app, StatusCommand());
    auto* key = app.add_subcommand("key", "Grant and withdraw the keys that callers show")->require_subcommand(1);
    commands.add(*key, KeyGrantCommand());
    commands.add(*key, KeyWithdrawCommand());
    auto* wave = app.add_subcommand("wave", "Plan and drive maintenance waves")->require_subcommand(1);
    commands.add(*wave, WavePlanCommand());
    commands.add(*wave, WaveCommand("start", "Start a wave"));
    commands.add(*wave, WaveCommand("pause", "Take no further VM; those already taken are finished"));
    commands.add(*wave, WaveCommand("resume", "Go on with a paused wave, and try stuck VMs again"));
    commands.add(*wave, WaveCommand("rollback", "Put draining VMs back and move moved VMs back"));
    auto* report = app.add_subcommand("report", "Reports for people")->require_subcommand(1);
    commands.add(*report, BurnReportCommand());
    commands.add(app, CompletionCommand(app));
}

} // namespace

CommandLine::CommandLine(event_base& base, std::ostream& out, std::ostream& err)
    : base(base)
    , out(out)
    , err(err)
{
}

ExitCode CommandLine::run(std::vector<std::string> arguments)
{
    CLI::App app("greengagectl: the operators' command line of greengagegap", "greengagectl");
    app.require_subcommand(1);
    app.fallthrough();
    app.footer(describeExitCodes());
    CommandContext context { this->base, this->out, this->err, {} };
    CommandSet commands;
    declareGlobals(app, context.options);
    declareCommands(app, commands);
    std::ranges::reverse(arguments);
    try {
        app.parse(arguments);
    } catch (const CLI::ParseError& error) {
        return app.exit(error, this->out, this->err) == 0 ? ExitCode::Done : ExitCode::Usage;
    }
    auto result = commands.runChosen(context);
    if (result.has_value())
        return result.value();
    if (context.options.json && !result.error().json.empty())
        this->out << result.error().json << "\n";
    this->err << "greengagectl: " << result.error().message << "\n";
    return result.error().code;
}

} // namespace Greengage
