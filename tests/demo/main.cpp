#include <tests/demo/Demo.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

/// Exit code 0 if the recorded history shows no violation, the wave was done in time and all daemons stopped
/// gracefully; else 1.
int main(int argumentCount, char** arguments)
{
    CLI::App app("Runs a complete site of processes for less than a minute and checks what callers observed");
    std::uint64_t seed = 1;
    app.add_option("--seed", seed, "Seed of the callers' random numbers");
    CLI11_PARSE(app, argumentCount, arguments);
    try {
        return Greengage::Demo(seed).run() ? 0 : 1;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}
