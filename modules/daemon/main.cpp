#include <config/settings/SettingsParser.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <daemon/process/Daemon.h>
#include <loop/loop.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <event2/event.h>
#include <iostream>
#include <optional>

namespace {

constexpr int exitSettings = 2;
constexpr int exitStart = 3;

int runDaemon(const Greengage::DaemonSettings& settings)
{
    Greengage::EventPointer<event_base> base(event_base_new());
    Greengage::Daemon daemon(*base, settings, [&base] { event_base_loopbreak(base.get()); });
    Greengage::SignalWatch terminated(*base, SIGTERM, [&daemon] { daemon.shutDown(); });
    Greengage::SignalWatch interrupted(*base, SIGINT, [&daemon] { daemon.shutDown(); });
    std::signal(SIGPIPE, SIG_IGN);
    auto started = daemon.start();
    if (!started.has_value()) {
        Greengage::writeLog(
            Greengage::LogLevel::Error, Greengage::LogLine("start_failed").add("detail", started.error().detail));
        return exitStart;
    }
    event_base_dispatch(base.get());
    return 0;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    CLI::App app("Entry daemon of the fleet manager.\n"
                 "Exit codes: 0 stopped gracefully or settings are valid, 2 settings are wrong, 3 could not start.");
    std::string settingsFile;
    std::string levelName;
    bool checkOnly = false;
    app.add_option("--settings", settingsFile, "INI file with the daemon's settings")->required();
    app.add_flag("--check", checkOnly, "Only check the settings");
    app.add_option("--log-level", levelName, "debug, info, warning or error; overrides the level in the settings");
    CLI11_PARSE(app, argumentCount, arguments);

    std::optional<Greengage::LogLevel> level = Greengage::enumFromName<Greengage::LogLevel>(levelName);
    if (!levelName.empty() && !level) {
        std::cerr << "--log-level: use debug, info, warning or error, not \"" << levelName << "\"\n";
        return exitSettings;
    }
    auto settings = Greengage::SettingsParser().parseFile(settingsFile);
    if (!settings.has_value()) {
        std::cerr << settings.error().describe(settingsFile);
        return exitSettings;
    }
    if (checkOnly) {
        std::cout << settingsFile << ": settings are valid\n";
        return 0;
    }
    Greengage::startLog(level.value_or(settings.value().logLevel));
    return runDaemon(settings.value());
}
