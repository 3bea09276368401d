#include <cli/cli.h>

#include <csignal>
#include <cstdlib>
#include <event2/event.h>
#include <iostream>
#include <memory>

int main(int argumentCount, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), event_base_free);
    if (!base) {
        std::cerr << "greengagectl: no event loop could be created\n";
        return EXIT_FAILURE;
    }
    Greengage::CommandLine commandLine(*base, std::cout, std::cerr);
    return static_cast<int>(commandLine.run({ arguments + 1, arguments + argumentCount }));
}
