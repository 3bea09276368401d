#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

namespace Greengage {

/// How an attempt to claim a non-idempotent request under its idempotency key ended.
enum class ClaimResult {
    /// The claim is ours: the request may be sent once.
    Won,
    /// Another submission holds the claim; this one must not run.
    Held,
    /// Nothing was written and nothing will be: "not run" is true.
    NotMade,
    /// It could not be learnt in time whether the claim was written. The request has not been sent.
    Unsettled,
};

template <> struct EnumNames<ClaimResult> {
    static constexpr std::array<std::pair<ClaimResult, std::string_view>, 4> table { {
        { ClaimResult::Won, "won" },
        { ClaimResult::Held, "held" },
        { ClaimResult::NotMade, "not_made" },
        { ClaimResult::Unsettled, "unsettled" },
    } };
};

struct ClaimSettled {
    RequestId request;
    ClaimResult result = ClaimResult::NotMade;
};

} // namespace Greengage
