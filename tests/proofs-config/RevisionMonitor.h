#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Greengage {

class Site;
struct DocumentRecord;

/// Polls the applied revision of every daemon and records each daemon that goes back to an older one.
class RevisionMonitor {
public:
    explicit RevisionMonitor(Site&);

    /// Polls all daemons once. A daemon that does not answer is skipped.
    void poll();

    /// Polls all daemons once and records each that has an older revision than `revision`, which was reported in force.
    void requireEverywhere(std::uint64_t revision);

    /// Call it after a restart of a daemon: the daemon may have no document yet, but none older than the one in force
    /// now.
    void expectRestart(std::size_t index);

    /// Stops polling a daemon, because it is frozen or killed.
    void exclude(std::size_t index);

    /// The revision that a daemon has applied, or nothing if it does not answer.
    std::optional<std::uint64_t> revisionOf(std::size_t index);

    /// The document record of a daemon; a default one if it does not answer.
    DocumentRecord recordOf(std::size_t index);

    const std::vector<std::string>& violations() const { return this->foundViolations; }
    /// The number of status answers received.
    int answers() const { return this->answerCount; }

private:
    std::optional<std::string> fetch(std::size_t index, const std::string& path);
    void recordRevision(std::size_t index, std::uint64_t revision, std::uint64_t minimum, const std::string& what);

    Site& site;
    std::vector<std::uint64_t> newest;
    std::vector<bool> excluded;
    std::vector<bool> restarted;
    std::uint64_t inForceRevision = 0;
    std::vector<std::string> foundViolations;
    int answerCount = 0;
};

} // namespace Greengage
