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

void declareGlobalOptions(CLI::App& app, GlobalOptions& options)
{
    app.add_option("--daemon", options.daemons,
           "Address and admin port of a daemon, ADDRESS:PORT; repeat the option for several daemons: if one cannot be "
           "reached, the next is tried")
        ->envname("GREENGAGE_DAEMONS")
        ->delimiter(',')
        ->expected(1)
        ->take_all();
    app.add_option("--key-file", options.keyFile,
           "File that contains the operators' key; without it, the key is read from GREENGAGE_KEY")
        ->envname("GREENGAGE_KEY_FILE");
    app.add_option(
           "--timeout", options.timeoutSeconds, "Seconds for retries and for waiting until a change is in force")
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
    auto* key = app.add_subcommand("key", "Grant and withdraw the keys that callers show to authenticate")
                    ->require_subcommand(1);
    commands.add(*key, KeyGrantCommand());
    commands.add(*key, KeyWithdrawCommand());
    auto* wave = app.add_subcommand("wave", "Plan and control maintenance waves")->require_subcommand(1);
    commands.add(*wave, WavePlanCommand());
    commands.add(*wave, WaveCommand("start", "Start a wave"));
    commands.add(*wave, WaveCommand("pause", "Pause a wave: finish the VMs in maintenance and take no further VM"));
    commands.add(*wave, WaveCommand("resume", "Resume a paused wave and retry stuck VMs"));
    commands.add(
        *wave, WaveCommand("rollback", "Roll back a wave: return draining VMs to service and move moved VMs back"));
    auto* report = app.add_subcommand("report", "Print reports")->require_subcommand(1);
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
    declareGlobalOptions(app, context.options);
    declareCommands(app, commands);
    std::ranges::reverse(arguments);
    try {
        app.parse(arguments);
    } catch (const CLI::ParseError& error) {
        return app.exit(error, this->out, this->err) == 0 ? ExitCode::Done : ExitCode::Usage;
    }
    auto result = commands.runSelected(context);
    if (result.has_value())
        return result.value();
    if (context.options.json && !result.error().json.empty())
        this->out << result.error().json << "\n";
    this->err << "greengagectl: " << result.error().message << "\n";
    return result.error().code;
}

} // namespace Greengage
