#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Why a submission is not known to be stored.
enum class SubmissionFailure {
    /// The store could not be reached; nothing was written.
    NotAccepted,
    /// A write was sent and its answer was lost. Submitting the same change again resolves it.
    Unknown,
};

template <> struct EnumNames<SubmissionFailure> {
    static constexpr std::array<std::pair<SubmissionFailure, std::string_view>, 2> table { {
        { SubmissionFailure::NotAccepted, "not_accepted" },
        { SubmissionFailure::Unknown, "unknown" },
    } };
};

} // namespace Greengage
