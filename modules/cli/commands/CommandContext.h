#pragma once

#include <cli/commands/GlobalOptions.h>

#include <ostream>

struct event_base;

namespace Greengage {

/// What a command runs with: the global options, where it writes, and the loop that it waits on.
struct CommandContext {
    event_base& base;
    std::ostream& out;
    std::ostream& err;
    GlobalOptions options;
};

} // namespace Greengage
