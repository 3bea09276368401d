#pragma once

#include <core/text/EnumNames.h>

#include <map>
#include <string>
#include <vector>

namespace Greengage {

/// A violation of the system's guarantees that a history can show.
enum class HistoryViolation {
    /// A submission that never got an outcome.
    Lost,
    /// An answer that was incomplete or belonged to another request.
    CorruptAnswer,
    /// A non-idempotent submission that was started more than once.
    DuplicateStart,
    /// An attempt that was answered "not run" although it was started.
    FalseNotRun,
    /// A start that raised the running work of a team above its upper limit.
    OverLimit,
    /// A start for a key that had been withdrawn for longer than HistoryChecker::withdrawalBound.
    StartAfterWithdrawal,
    /// A start on an endpoint that had been leaving for longer than HistoryChecker::leavingBound.
    StartOnLeavingVm,
    /// Work that was started for a team other than the key's.
    WrongTeam,
};

template <> struct EnumNames<HistoryViolation> {
    static constexpr std::array<std::pair<HistoryViolation, std::string_view>, 8> table { {
        { HistoryViolation::Lost, "lost" },
        { HistoryViolation::CorruptAnswer, "cut" },
        { HistoryViolation::DuplicateStart, "doubled" },
        { HistoryViolation::FalseNotRun, "false_not_run" },
        { HistoryViolation::OverLimit, "over_limit" },
        { HistoryViolation::StartAfterWithdrawal, "after_withdrawal" },
        { HistoryViolation::StartOnLeavingVm, "on_leaving" },
        { HistoryViolation::WrongTeam, "wrong_team" },
    } };
};

/// The result of checking a history.
struct HistoryVerdict {
    /// Submissions by their final outcome.
    int answered = 0;
    int notRun = 0;
    int unknown = 0;
    /// Attempts whose connection broke or that got no answer within the caller's own time limit.
    int brokenAttempts = 0;
    std::map<HistoryViolation, int> violations;
    /// One line for each violation.
    std::vector<std::string> details;

    int count(HistoryViolation violation) const;
    bool isClean() const { return this->violations.empty(); }
    void add(HistoryViolation, const std::string& detail);

    /// "answered=N not_run=N unknown=N broken_attempts=N" and the count of each kind of violation.
    std::string summary() const;
};

} // namespace Greengage
