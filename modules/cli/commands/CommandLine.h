#pragma once

#include <cli/commands/ExitCode.h>

#include <ostream>
#include <string>
#include <vector>

struct event_base;

namespace Greengage {

/// Parses the arguments of greengagectl and runs the command that they name.
class CommandLine {
public:
    /// Results go to `out`, failures and remarks to `err`.
    CommandLine(event_base&, std::ostream& out, std::ostream& err);

    /// `arguments` are those behind the program's name.
    ExitCode run(std::vector<std::string> arguments);

private:
    event_base& base;
    std::ostream& out;
    std::ostream& err;
};

} // namespace Greengage
