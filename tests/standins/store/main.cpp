#include <standins/common/Loop.h>
#include <standins/store/StoreService.h>

#include <CLI/CLI.hpp>
#include <cstdio>

/// Stand-in for the platform's key-value service and VM list.
int main(int argumentCount, char** arguments)
{
    CLI::App app("Key-value store and VM list of the platform, for tests");
    std::string address = "127.3.0.1";
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    std::string history;
    app.add_option("--address", address, "Address to listen on");
    app.add_option("--port", port, "Port of the key-value service and the VM list")->required();
    app.add_option("--control-port", controlPort, "Port for POST /control and GET /control/calls")->required();
    app.add_option("--history", history, "File that state changes of VMs are appended to");
    CLI11_PARSE(app, argumentCount, arguments);

    Greengage::Loop loop;
    loop.stopOnSignals();
    Greengage::StoreService service(loop, address, port, controlPort, history);
    if (!service.start()) {
        std::fprintf(stderr, "cannot listen on %s, ports %d and %d\n", address.c_str(), port, controlPort);
        return 1;
    }
    loop.run();
    return 0;
}
