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

/// Parses "address:port"; exits with a message if the text has another form.
Greengage::DaemonAddress toDaemon(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        exitWith("--daemon \"" + text + "\" is not of the form address:port");
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))) };
}

} // namespace

/// Stand-in for the callers.
int main(int argumentCount, char** arguments)
{
    CLI::App app("Submits work to daemons as callers do, for tests");
    Greengage::CallerOptions options;
    std::vector<std::string> daemons;
    std::vector<std::string> loads;
    long long durationMilliseconds = 10000;
    long long burstMilliseconds = 0;
    app.add_option("--daemon", daemons, "address:port of a daemon; may be repeated")->required();
    app.add_option("--source", options.sources, "Local address that connections are bound to; may be repeated")
        ->required();
    app.add_option("--load", loads, "queue=NAME team=NAME bearer=KEY idempotent=BOOL rate=N run_ms=N deadline_ms=N")
        ->required();
    app.add_option("--history", options.historyPath, "File that attempts and answers are appended to");
    app.add_option("--seed", options.seed, "Seed of the random numbers");
    app.add_option("--duration-ms", durationMilliseconds, "How long new work is submitted, in milliseconds");
    app.add_option("--burst-ms", burstMilliseconds,
        "How long each load in turn submits at five times its mean rate, in milliseconds");
    app.add_option("--name", options.name, "Prefix of the names of the submissions");
    CLI11_PARSE(app, argumentCount, arguments);

    options.duration = Greengage::Milliseconds(durationMilliseconds);
    options.burst = Greengage::Milliseconds(burstMilliseconds);
    for (const auto& text : daemons)
        options.daemons.push_back(toDaemon(text));
    for (const auto& text : loads) {
        auto load = Greengage::CallerLoad::parse(text);
        if (!load)
            exitWith(load.error());
        options.loads.push_back(load.value());
    }
    Greengage::Loop loop;
    loop.stopOnSignals();
    Greengage::CallerProcess process(loop, options);
    process.start();
    loop.run();
    std::printf("caller: submissions=%zu\n", process.submissionCount());
    return 0;
}
