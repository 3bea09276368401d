#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Greengage {

class Site;
struct DocumentRecord;

/// Asks every daemon again and again which revision it has applied, and notes each one that goes back.
class RevisionMonitor {
public:
    explicit RevisionMonitor(Site&);

    /// Asks all daemons once. A daemon that does not answer is passed over.
    void poll();

    /// Asks all daemons once and notes each that answers with an older revision than one reported in force.
    void requireEverywhere(std::uint64_t revision);

    /// The daemon was started anew: it may have nothing, but nothing older than what is in force now.
    void expectRestart(std::size_t index);

    /// Takes a daemon out of the questions, because it is frozen or dead.
    void leaveOut(std::size_t index);

    /// The revision that a daemon has applied; nothing if it does not answer.
    std::optional<std::uint64_t> revisionOf(std::size_t index);

    /// The document as a daemon has it.
    DocumentRecord recordOf(std::size_t index);

    const std::vector<std::string>& violations() const { return this->faults; }
    /// How many answers have been looked at.
    int answers() const { return this->answerCount; }

private:
    std::optional<std::string> ask(std::size_t index, const std::string& path);
    void note(std::size_t index, std::uint64_t revision, std::uint64_t floor, const std::string& what);

    Site& site;
    std::vector<std::uint64_t> newest;
    std::vector<bool> leftOut;
    std::vector<bool> restarted;
    std::uint64_t inForce = 0;
    std::vector<std::string> faults;
    int answerCount = 0;
};

} // namespace Greengage
