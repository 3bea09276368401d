#pragma once

#include <core/text/EnumNames.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// Why a call to the platform's store gave no value.
enum class StoreErrorCode {
    /// The call was not sent or was refused; it had no effect.
    NotSent,
    /// The call was sent and no answer came. A write may have taken effect.
    AnswerLost,
    /// A write's expected version was not the current one; it had no effect.
    Conflict,
    /// The key does not exist.
    NotFound,
    /// The lease has lapsed.
    LeaseLapsed,
    /// The answer was not understood. A write may have taken effect.
    Malformed,
};

template <> struct EnumNames<StoreErrorCode> {
    static constexpr std::array<std::pair<StoreErrorCode, std::string_view>, 6> table { {
        { StoreErrorCode::NotSent, "not_sent" },
        { StoreErrorCode::AnswerLost, "answer_lost" },
        { StoreErrorCode::Conflict, "conflict" },
        { StoreErrorCode::NotFound, "not_found" },
        { StoreErrorCode::LeaseLapsed, "lease_lapsed" },
        { StoreErrorCode::Malformed, "malformed" },
    } };
};

/// A failed call to the store.
struct StoreError {
    StoreErrorCode code = StoreErrorCode::NotSent;
    /// For a Conflict, the version that the key has; 0 if it does not exist.
    std::uint64_t currentVersion = 0;
    std::string detail;
};

} // namespace Greengage
