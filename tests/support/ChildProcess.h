#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Greengage {

/// A program started by a test, with its output in a file. The destructor kills it if it is still running.
class ChildProcess {
public:
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;

    /// The exit code, or 128 plus the signal's number if a signal ended the program; nothing while it is running.
    std::optional<int> exitCode();

    /// Waits until the program ends. Gives up after 60 seconds, which only a hanging program takes.
    std::optional<int> awaitExit();

    pid_t id() const { return this->process; }

    /// Everything that the program has printed so far.
    std::string output() const;

private:
    std::string outputFile;
    pid_t process = -1;
    std::optional<int> code;
};

} // namespace Greengage
