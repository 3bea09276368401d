#pragma once

#include <cstddef>
#include <string>

namespace Greengage {

/// What the caller stand-in asks the minion stand-in to do. It is the first line of the request's body. The answer is
/// derived from the whole body, so that the caller detects a truncated answer and one that belongs to another request.
struct WorkOrder {
    /// Identifies one attempt of a caller's submission in the histories.
    std::string call;
    /// How long the work runs; negative for the endpoint's own setting.
    int runMilliseconds = -1;
    std::size_t answerBytes = 64;

    /// Formats a request body, padded to at least `bodyBytes` bytes.
    std::string toBody(std::size_t bodyBytes) const;

    /// Parses a body; absent fields keep their defaults.
    static WorkOrder fromBody(const std::string& body);

    /// The answer that a request with this body must get.
    static std::string answerFor(const std::string& body);
};

} // namespace Greengage
