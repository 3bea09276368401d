#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// The result of a submission, a cancellation or a query.
enum class DeskOutcome {
    /// The request is stored.
    Stored,
    /// Nothing was stored, and nothing will be.
    NotStored,
    /// It may have been stored, or may be later.
    Unknown,
    /// The job does not exist.
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
