#pragma once

#include <cli/commands/GlobalOptions.h>

#include <ostream>

struct event_base;

namespace Greengage {

/// The environment of a command: the event loop, the output streams and the global options.
struct CommandContext {
    event_base& base;
    std::ostream& out;
    std::ostream& err;
    GlobalOptions options;
};

} // namespace Greengage
