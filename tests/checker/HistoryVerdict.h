#pragma once

#include <core/text/EnumNames.h>

#include <map>
#include <string>
#include <vector>

namespace Greengage {

/// A broken promise that a history can show.
enum class HistoryFault {
    /// A submission for which no outcome ever came.
    Lost,
    /// An answer that was not whole or not the caller's own.
    Cut,
    /// A non-idempotent submission that was started more than once.
    Doubled,
    /// An attempt that was answered "not run" and was started.
    FalseNotRun,
    /// A start that brought a team above its upper limit.
    OverLimit,
    /// A start for a key that had been withdrawn for longer than allowed.
    AfterWithdrawal,
    /// A start on an endpoint that had been leaving for longer than allowed.
    OnLeaving,
    /// Work that was started for another team than the key's.
    WrongTeam,
};

template <> struct EnumNames<HistoryFault> {
    static constexpr std::array<std::pair<HistoryFault, std::string_view>, 8> table { {
        { HistoryFault::Lost, "lost" },
        { HistoryFault::Cut, "cut" },
        { HistoryFault::Doubled, "doubled" },
        { HistoryFault::FalseNotRun, "false_not_run" },
        { HistoryFault::OverLimit, "over_limit" },
        { HistoryFault::AfterWithdrawal, "after_withdrawal" },
        { HistoryFault::OnLeaving, "on_leaving" },
        { HistoryFault::WrongTeam, "wrong_team" },
    } };
};

/// What a history shows.
struct HistoryVerdict {
    /// Submissions by their final outcome.
    int answered = 0;
    int notRun = 0;
    int unknown = 0;
    /// Attempts whose connection broke or that got no answer in the caller's own time.
    int brokenAttempts = 0;
    std::map<HistoryFault, int> faults;
    /// One line for each fault.
    std::vector<std::string> details;

    int count(HistoryFault fault) const;
    bool isClean() const { return this->faults.empty(); }
    void add(HistoryFault, const std::string& detail);

    /// "answered=N not_run=N unknown=N" and the count of each fault.
    std::string summary() const;
};

} // namespace Greengage
