#include <tests/demo/Demo.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

/// Exit code 0 only if the recorded history keeps every promise.
int main(int argumentCount, char** arguments)
{
    CLI::App app("Runs a whole site of processes for less than a minute and judges what callers saw");
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
