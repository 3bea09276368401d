#pragma once

#include <jobs/model/StartOutcome.h>

#include <cstdint>
#include <optional>

namespace Greengage {

/// The answer to an order to start an attempt.
struct StartAnswer {
    // Not explicit: most answers consist of the outcome alone.
    StartAnswer(StartOutcome outcome, std::optional<std::int64_t> clockMs = std::nullopt)
        : outcome(outcome)
        , clockMs(clockMs)
    {
    }

    StartOutcome outcome;
    /// The worker's clock in milliseconds, if it answered and told it.
    std::optional<std::int64_t> clockMs;
};

} // namespace Greengage
