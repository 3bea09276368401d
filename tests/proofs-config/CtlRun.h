#pragma once

#include <tests/site/ChildProcess.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Greengage {

class Site;

/// One run of greengagectl as a process of its own.
class CtlRun {
public:
    /// `name` is that of the file that the run's output goes to. The daemons are asked in the order given.
    CtlRun(Site&, const std::string& name, const std::vector<std::size_t>& daemons, std::vector<std::string> arguments);

    /// The exit code once the run has ended.
    std::optional<int> exitCode() { return this->process->exitStatus(); }

    /// What it has printed, both results and failures.
    std::string output() const;

    /// Runs a command to its end.
    static int runToEnd(Site&, const std::string& name, std::vector<std::string> arguments);

private:
    std::string path;
    std::unique_ptr<ChildProcess> process;
};

} // namespace Greengage
