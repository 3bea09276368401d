#pragma once

#include <cli/commands/ExitCode.h>

#include <ostream>
#include <string>
#include <vector>

struct event_base;

namespace Greengage {

/// Parses the arguments of greengagectl and runs the selected command.
class CommandLine {
public:
    /// Results are written to `out`, errors and warnings to `err`.
    CommandLine(event_base&, std::ostream& out, std::ostream& err);

    /// `arguments` does not include the program name.
    ExitCode run(std::vector<std::string> arguments);

private:
    event_base& base;
    std::ostream& out;
    std::ostream& err;
};

} // namespace Greengage
