#pragma once

#include <cli/tests/FakeDaemon.h>
#include <cli/tests/FakeFleet.h>
#include <standins/common/Loop.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// An operator's session with greengagectl against two fake daemons, in an empty folder of its own. Every command and
/// what it printed is kept as a transcript, in which ports, digests and change ids are blotted out.
class Session {
public:
    Session();
    ~Session();

    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    /// Runs a command line; words are separated by single spaces. With " > FILE" at its end the output goes to the
    /// file.
    int run(const std::string& commandLine);

    /// Replaces a text in a file of the folder.
    void edit(const std::string& file, const std::string& from, const std::string& to);
    void write(const std::string& file, const std::string& content);

    /// Compares the transcript with a golden file, or writes it if GREENGAGE_WRITE_GOLDEN is set.
    void matchGolden(const std::string& name) const;

    const std::string& lastOutput() const { return this->output; }

    Loop loop;
    FakeFleet fleet;
    FakeDaemon first;
    FakeDaemon second;

private:
    std::string folder;
    std::string formerFolder;
    std::string output;
    std::string transcript;
};

} // namespace Greengage
