#pragma once

#include <cli/tests/FakeDaemon.h>
#include <cli/tests/FakeFleet.h>
#include <standins/common/Loop.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// An operator's session with greengagectl against two fake daemons, in a temporary folder. Every command and its
/// output are recorded in a transcript, in which ports, digests and change ids are replaced by placeholders.
class Session {
public:
    Session();
    ~Session();

    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    /// Runs a command line of words separated by spaces and returns the exit code. If it ends with " > FILE", the
    /// output is written to the file.
    int run(const std::string& commandLine);

    /// Replaces the first occurrence of a text in a file of the folder.
    void edit(const std::string& file, const std::string& from, const std::string& to);
    void write(const std::string& file, const std::string& content);

    /// Compares the transcript with a golden file. If GREENGAGE_WRITE_GOLDEN is set, the file is written first.
    void matchGolden(const std::string& name) const;

    const std::string& lastOutput() const { return this->output; }

    Loop loop;
    FakeFleet fleet;
    FakeDaemon first;
    FakeDaemon second;

private:
    std::string folder;
    std::string previousFolder;
    std::string output;
    std::string transcript;
};

} // namespace Greengage
