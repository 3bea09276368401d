#pragma once

#include <checker/HistoryVerdict.h>
#include <core/time/Instant.h>

#include <map>
#include <string>
#include <vector>

namespace Greengage {

struct AnswerEvent;
struct History;
struct InvokeEvent;
struct WorkEvent;

/// Judges a history against the promises of the system.
class HistoryChecker {
public:
    /// How long after its withdrawal a key may still have work started.
    static constexpr Seconds withdrawalBound { 5 };
    /// How long after it is listed as leaving an endpoint may still start work.
    static constexpr Seconds leavingBound { 3 };
    /// How long after a limit is lowered the earlier one may still be used.
    static constexpr Seconds limitBound { 8 };

    explicit HistoryChecker(const History&);

    HistoryVerdict check();

private:
    using Attempts = std::vector<const InvokeEvent*>;

    void checkOutcomes();
    void countSubmission(const std::string& submission, const Attempts&);
    void checkAnswers();
    void checkRepeats();
    void checkTeamsAndKeys();
    void checkLimits();
    void checkLeaving();

    const InvokeEvent* invokeOf(const std::string& call) const;
    int allowedRunning(const std::string& team, Instant at) const;
    bool isLeavingTooLong(const WorkEvent&) const;

    const History& history;
    HistoryVerdict verdict;
    std::map<std::string, const InvokeEvent*> invokesByCall;
    std::map<std::string, const AnswerEvent*> answersByCall;
    std::vector<const WorkEvent*> starts;
};

} // namespace Greengage
