#include <standins/caller/CallerProcess.h>
#include <standins/common/Loop.h>

#include <CLI/CLI.hpp>
#include <cstdio>

namespace {

[[noreturn]] void exitWith(const std::string& message)
{
    std::fprintf(stderr, "%s\n", message.c_str());
    std::exit(EXIT_FAILURE);
}

/// Reads "address:port".
Greengage::DaemonAddress toDaemon(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        exitWith("daemon \"" + text + "\" is not address:port");
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))) };
}

} // namespace

/// Takes the place of callers.
int main(int argumentCount, char** arguments)
{
    CLI::App app("Callers, for tests");
    Greengage::CallerSettings settings;
    std::vector<std::string> daemons;
    std::vector<std::string> loads;
    long long durationMilliseconds = 10000;
    long long burstMilliseconds = 0;
    app.add_option("--daemon", daemons, "address:port of a daemon; may be repeated")->required();
    app.add_option("--source", settings.sources, "Local address; may be repeated")->required();
    app.add_option("--load", loads, "queue=NAME team=NAME bearer=KEY idempotent=BOOL rate=N run_ms=N deadline_ms=N")
        ->required();
    app.add_option("--history", settings.historyPath, "File that attempts and answers are appended to");
    app.add_option("--seed", settings.seed, "Seed of the random numbers");
    app.add_option("--duration-ms", durationMilliseconds, "How long new work is submitted");
    app.add_option("--burst-ms", burstMilliseconds, "How long each load in turn asks five times its mean");
    app.add_option("--name", settings.name, "Begins the names of the submissions");
    CLI11_PARSE(app, argumentCount, arguments);

    settings.duration = Greengage::Milliseconds(durationMilliseconds);
    settings.burst = Greengage::Milliseconds(burstMilliseconds);
    for (const auto& text : daemons)
        settings.daemons.push_back(toDaemon(text));
    for (const auto& text : loads) {
        auto load = Greengage::CallerLoad::parse(text);
        if (!load)
            exitWith(load.error());
        settings.loads.push_back(load.value());
    }
    Greengage::Loop loop;
    loop.stopOnSignals();
    Greengage::CallerProcess process(loop, settings);
    process.start();
    loop.run();
    std::printf("caller: submissions=%zu\n", process.submissionCount());
    return 0;
}
