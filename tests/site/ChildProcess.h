#pragma once

#include <core/time/Instant.h>

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Greengage {

/// A program started by a test. It is ended with the object, and by the kernel should the test itself die.
class ChildProcess {
public:
    /// The first word is the program's path. Standard output and error are appended to the file.
    ChildProcess(std::vector<std::string> command, const std::string& outputPath);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t id() const { return this->processId; }

    /// Sends a signal, unless the process has ended.
    void signal(int number);

    /// The exit status if the process has ended, with 128 added to the number of a signal that ended it.
    std::optional<int> exitStatus();

    /// Waits for the end; nothing if it has not come within the limit.
    std::optional<int> wait(Milliseconds limit);

private:
    pid_t processId;
    std::optional<int> status;
};

} // namespace Greengage
