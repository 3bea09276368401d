#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

namespace Greengage {

/// Result of claiming a non-idempotent request under its idempotency key.
enum class ClaimResult {
    /// This submission holds the claim: the request may be sent once.
    Won,
    /// Another submission holds the claim; this one must not be run.
    Held,
    /// The claim was not written and will not be, so the request can be reported as not run.
    NotMade,
    /// It is not known in time whether the claim was written. The request has not been sent.
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
