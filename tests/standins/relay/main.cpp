#include <standins/common/Loop.h>
#include <standins/relay/RelayProcess.h>

#include <CLI/CLI.hpp>
#include <cstdio>

namespace {

[[noreturn]] void exitWith(const std::string& message)
{
    std::fprintf(stderr, "%s\n", message.c_str());
    std::exit(EXIT_FAILURE);
}

std::pair<std::string, std::uint16_t> toAddress(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        exitWith("\"" + text + "\" is not of the form address:port");
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))) };
}

/// Parses "address:port=address:port"; exits with a message if the text has another form.
Greengage::RelayRoute toRoute(const std::string& text)
{
    auto equals = text.find('=');
    if (equals == std::string::npos)
        exitWith("--route \"" + text + "\" is not of the form address:port=address:port");
    auto [listenAddress, listenPort] = toAddress(text.substr(0, equals));
    auto [targetAddress, targetPort] = toAddress(text.substr(equals + 1));
    return { listenAddress, listenPort, targetAddress, targetPort };
}

} // namespace

/// Stand-in for the network between daemons, store and endpoints.
int main(int argumentCount, char** arguments)
{
    CLI::App app("TCP relay whose connections can be frozen or reset, for tests");
    std::vector<std::string> routeTexts;
    std::string controlAddress = "127.3.0.1";
    std::uint16_t controlPort = 0;
    app.add_option(
           "--route", routeTexts, "address:port=address:port, the listening address and the target; may be repeated")
        ->required();
    app.add_option("--control-address", controlAddress, "Address of POST /control and GET /control/state");
    app.add_option("--control-port", controlPort, "Port of the control address")->required();
    CLI11_PARSE(app, argumentCount, arguments);

    std::vector<Greengage::RelayRoute> routes;
    for (const auto& text : routeTexts)
        routes.push_back(toRoute(text));
    Greengage::Loop loop;
    loop.stopOnSignals();
    Greengage::RelayProcess process(loop, controlAddress, controlPort, routes);
    if (!process.start())
        exitWith("cannot listen on the control address or on the address of a route");
    loop.run();
    return 0;
}
