#pragma once

#include <tests/proofs-config/CtlRun.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Greengage {

class Site;

/// An operator at work: gets the document with greengagectl, edits the limit of a team, applies it, and begins again.
/// In every other round it edits the team's section that all operators share.
class Operator {
public:
    static constexpr const char* sharedTeam = "shared";

    /// A text of the document with another limit in a team's section.
    static std::string withLimit(std::string text, const std::string& team, int limit);

    /// The daemons are asked in the order given.
    Operator(Site&, int number, std::vector<std::size_t> daemons, int rounds);

    /// Starts the next command if the last one has ended. Returns the revision of a change that has just been reported
    /// in force everywhere, or 0.
    std::uint64_t advance();

    bool isDone() const { return this->round > this->rounds; }

    std::string team() const { return "op-" + std::to_string(this->number); }
    std::string author() const { return "operator-" + std::to_string(this->number); }

    /// Limits that the own team's section had in accepted changes, and in those of unknown outcome.
    std::vector<int> accepted;
    std::vector<int> undecided;
    /// Accepted changes of the shared section.
    int acceptedShared = 0;
    int conflicts = 0;
    /// Changes that no daemon took, or whose outcome stayed unknown.
    int notAccepted = 0;
    int unknown = 0;
    /// What commands said that ended in another way.
    std::vector<std::string> failures;

private:
    enum class Step {
        Getting,
        Applying,
    };

    bool editsShared() const { return this->round % 2 == 0; }
    void start(Step);
    void finishGetting(int code);
    std::uint64_t finishApplying(int code);

    Site& site;
    int number;
    std::vector<std::size_t> daemons;
    int rounds;
    int round = 1;
    Step step = Step::Getting;
    std::unique_ptr<CtlRun> run;
};

} // namespace Greengage
