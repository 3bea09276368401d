#pragma once

#include <support/ChildProcess.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Greengage {

class Site;

/// One run of greengagectl as a child process.
class CtlRun {
public:
    /// The output goes to the file `name` in the site's folder. The daemons are tried in the order given.
    CtlRun(Site&, const std::string& name, const std::vector<std::size_t>& daemons, std::vector<std::string> arguments);

    /// The exit code, or nothing while the process runs.
    std::optional<int> exitCode() { return this->process->exitStatus(); }

    /// The text printed so far, both results and errors.
    std::string output() const;

    /// Runs a command to its end and returns its exit code, or -1 if it does not end within the limit.
    static int runToEnd(Site&, const std::string& name, std::vector<std::string> arguments);

private:
    std::string path;
    std::unique_ptr<ChildProcess> process;
};

} // namespace Greengage
