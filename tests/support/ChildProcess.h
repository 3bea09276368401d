#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Greengage {

/// A program started by a test, with its output in a file. It is killed when this object goes, if it still runs.
class ChildProcess {
public:
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;

    /// The exit code, 128 plus the signal's number if one ended it, or nothing while it runs.
    std::optional<int> exitCode();

    /// Waits for its end; gives up after a bound that only a hang reaches.
    std::optional<int> awaitExit();

    pid_t id() const { return this->process; }

    /// Everything that it has printed.
    std::string output() const;

private:
    std::string outputFile;
    pid_t process = -1;
    std::optional<int> code;
};

} // namespace Greengage
