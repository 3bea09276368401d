#pragma once

#include <core/time/Instant.h>

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Greengage {

/// A program started by a test. The destructor kills it; the kernel kills it if the test process ends first.
class ChildProcess {
public:
    /// The first element of the command is the path of the program. Standard output and standard error are appended to
    /// the file.
    ChildProcess(std::vector<std::string> command, const std::string& outputPath);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t id() const { return this->processId; }

    /// Sends a signal unless the process has ended.
    void signal(int number);

    /// The exit status, or 128 plus the signal's number if a signal ended the process; nothing while it is running.
    std::optional<int> exitStatus();

    /// Waits until the process ends and returns its exit status; nothing if it has not ended within the limit.
    std::optional<int> wait(Milliseconds limit = hangTimeout);

    /// Everything that this program has printed so far, without what the file held before.
    std::string output() const;

private:
    /// Only a program that hangs takes this long to end.
    static constexpr Milliseconds hangTimeout { 60'000 };

    std::string outputPath;
    std::uintmax_t outputStart = 0;
    pid_t processId = -1;
    std::optional<int> status;
};

} // namespace Greengage
