#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Why a call to the shared store has no result.
enum class KvFailure {
    /// The store or the network refused the call; nothing was written.
    Refused,
    /// No answer; a write may have been applied, or may be applied later.
    Unanswered,
    /// The history that a watch asked for is no longer available.
    HistoryGone,
    /// The answer could not be parsed.
    Malformed,
};

template <> struct EnumNames<KvFailure> {
    static constexpr std::array<std::pair<KvFailure, std::string_view>, 4> table { {
        { KvFailure::Refused, "refused" },
        { KvFailure::Unanswered, "unanswered" },
        { KvFailure::HistoryGone, "history_gone" },
        { KvFailure::Malformed, "malformed" },
    } };
};

} // namespace Greengage
