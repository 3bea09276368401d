#pragma once

#include <tests/proofs-config/CtlRun.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Greengage {

class Site;

/// A simulated operator that repeatedly fetches the document with greengagectl, edits the limit of a team and applies
/// the result. In every other round it edits the section of the team that all operators share.
class Operator {
public:
    static constexpr const char* sharedTeam = "shared";

    /// Returns the text with the limit in a team's section replaced.
    static std::string withLimit(std::string text, const std::string& team, int limit);

    /// The daemons are tried in the order given.
    Operator(Site&, int number, std::vector<std::size_t> daemons, int rounds);

    /// Starts the next command if the last one has ended. Returns the revision of a change that has just been reported
    /// in force everywhere, or 0.
    std::uint64_t advance();

    bool isDone() const { return this->round > this->rounds; }

    std::string team() const { return "op-" + std::to_string(this->number); }
    std::string author() const { return "operator-" + std::to_string(this->number); }

    /// Limits of the operator's own team in accepted changes, and in changes of unknown outcome.
    std::vector<int> accepted;
    std::vector<int> unknownLimits;
    /// Number of accepted changes of the shared section.
    int acceptedShared = 0;
    int conflicts = 0;
    /// Number of changes that no daemon accepted, and of those whose outcome stayed unknown.
    int notAccepted = 0;
    int unknown = 0;
    /// Exit code and output of commands that ended in any other way.
    std::vector<std::string> failures;

private:
    enum class Step {
        Fetching,
        Applying,
    };

    bool editsShared() const { return this->round % 2 == 0; }
    void start(Step);
    void finishFetching(int code);
    std::uint64_t finishApplying(int code);

    Site& site;
    int number;
    std::vector<std::size_t> daemons;
    int rounds;
    int round = 1;
    Step step = Step::Fetching;
    std::unique_ptr<CtlRun> run;
};

} // namespace Greengage
