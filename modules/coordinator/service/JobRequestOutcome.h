#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// The result of a submission, a cancellation or a query.
enum class JobRequestOutcome {
    /// The request is stored.
    Stored,
    /// Nothing was stored, and nothing will be.
    NotStored,
    /// It may have been stored, or may be later.
    Unknown,
    /// The job does not exist.
    NoSuchJob,
};

template <> struct EnumNames<JobRequestOutcome> {
    static constexpr std::array<std::pair<JobRequestOutcome, std::string_view>, 4> table { {
        { JobRequestOutcome::Stored, "stored" },
        { JobRequestOutcome::NotStored, "not_stored" },
        { JobRequestOutcome::Unknown, "unknown" },
        { JobRequestOutcome::NoSuchJob, "no_such_job" },
    } };
};

} // namespace Greengage
