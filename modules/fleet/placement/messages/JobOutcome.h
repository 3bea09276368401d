#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// How a job ended.
enum class JobOutcome {
    Completed,
    Failed,
    Cancelled,
    /// Its worker was lost. The job may have run in part and must not be run again.
    Lost,
    /// No worker is large enough; no attempt is running.
    NeverFits,
    /// It could not be started on several workers; no attempt is running.
    NeverStarts,
    /// Its team is not in the document; no attempt is running.
    UnknownTeam,
};

template <> struct EnumNames<JobOutcome> {
    static constexpr std::array<std::pair<JobOutcome, std::string_view>, 7> table { {
        { JobOutcome::Completed, "completed" },
        { JobOutcome::Failed, "failed" },
        { JobOutcome::Cancelled, "cancelled" },
        { JobOutcome::Lost, "lost" },
        { JobOutcome::NeverFits, "never_fits" },
        { JobOutcome::NeverStarts, "never_starts" },
        { JobOutcome::UnknownTeam, "unknown_team" },
    } };
};

} // namespace Greengage
