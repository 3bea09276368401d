#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <cstddef>
#include <vector>

namespace Greengage {

/// Selects which of the workers that cannot be connected to are called again before their regular pause has passed. A
/// bound on the calls holds for all of these workers together, however many they are.
class ReconnectSelector {
public:
    struct Candidate {
        WorkerId worker;
        /// Whether a start order to the worker is known to be open, and not only presumed to be.
        bool hasKnownCopy = false;
        Instant calledAt;
    };

    static constexpr Milliseconds period { 20 };
    static constexpr std::size_t maxCallsPerPeriod = 4;

    /// Returns the workers to call now: those with known copies first, and then those called longest ago.
    std::vector<WorkerId> select(std::vector<Candidate>, Instant now);

private:
    Deadline nextCalls;
};

} // namespace Greengage
