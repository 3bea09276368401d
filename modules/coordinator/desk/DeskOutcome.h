#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What came of a submission or a cancellation.
enum class DeskOutcome {
    /// It is stored.
    Stored,
    /// Nothing was stored, nor will be.
    NotStored,
    /// It may have been stored, or may be later.
    Unknown,
    /// There is no such job.
    NoSuchJob,
};

template <> struct EnumNames<DeskOutcome> {
    static constexpr std::array<std::pair<DeskOutcome, std::string_view>, 4> table { {
        { DeskOutcome::Stored, "stored" },
        { DeskOutcome::NotStored, "not_stored" },
        { DeskOutcome::Unknown, "unknown" },
        { DeskOutcome::NoSuchJob, "no_such_job" },
    } };
};

} // namespace Greengage
