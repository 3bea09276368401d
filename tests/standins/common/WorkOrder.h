#pragma once

#include <cstddef>
#include <string>

namespace Greengage {

/// What the caller stand-in asks the minion stand-in to do. It travels as the first line of the request's body, and the
/// answer is derived from the whole body, so that a cut or a foreign answer is seen.
struct WorkOrder {
    /// Names one submission of one caller in the histories.
    std::string call;
    /// How long the work runs; below zero for the minion's own setting.
    int runMilliseconds = -1;
    std::size_t answerBytes = 64;

    /// A request body of at least `bodyBytes` bytes.
    std::string toBody(std::size_t bodyBytes) const;

    /// Reads a body; fields that are absent keep their defaults.
    static WorkOrder fromBody(const std::string& body);

    /// The answer that belongs to a body.
    static std::string answerFor(const std::string& body);
};

} // namespace Greengage
