#include <standins/common/Loop.h>
#include <standins/minion/MinionProcess.h>

#include <CLI/CLI.hpp>
#include <cstdio>

namespace {

/// Parses "vm=address:port"; exits with a message if the text has another form.
Greengage::EndpointSettings toEndpoint(const std::string& text)
{
    auto equals = text.find('=');
    auto colon = text.rfind(':');
    if (equals == std::string::npos || colon == std::string::npos || colon < equals) {
        std::fprintf(stderr, "--endpoint \"%s\" is not of the form vm=address:port\n", text.c_str());
        std::exit(EXIT_FAILURE);
    }
    Greengage::EndpointSettings settings;
    settings.vm = text.substr(0, equals);
    settings.address = text.substr(equals + 1, colon - equals - 1);
    settings.port = static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)));
    return settings;
}

} // namespace

/// Stand-in for endpoint VMs.
int main(int argumentCount, char** arguments)
{
    CLI::App app("Endpoints that run work and simulate failures, for tests");
    std::vector<std::string> endpointTexts;
    std::string controlAddress = "127.3.0.1";
    std::uint16_t controlPort = 0;
    std::string history;
    int runMilliseconds = 20;
    app.add_option("--endpoint", endpointTexts, "vm=address:port of an endpoint; may be repeated")->required();
    app.add_option("--control-address", controlAddress, "Address of POST /control and GET /control/state");
    app.add_option("--control-port", controlPort, "Port of the control address")->required();
    app.add_option("--history", history, "File that starts and ends of work are appended to");
    app.add_option("--run-ms", runMilliseconds, "Run time of work whose request gives none, in milliseconds");
    CLI11_PARSE(app, argumentCount, arguments);

    std::vector<Greengage::EndpointSettings> endpoints;
    for (const auto& text : endpointTexts) {
        endpoints.push_back(toEndpoint(text));
        endpoints.back().runTime = Greengage::Milliseconds(runMilliseconds);
    }
    Greengage::Loop loop;
    loop.stopOnSignals();
    Greengage::MinionProcess process(loop, controlAddress, controlPort, history, endpoints);
    if (!process.start()) {
        std::fputs("cannot listen on the control address or on the address of an endpoint\n", stderr);
        return 1;
    }
    loop.run();
    return 0;
}
