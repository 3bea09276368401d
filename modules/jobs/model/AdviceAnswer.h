#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>

#include <map>
#include <string>

namespace Greengage {

/// The answer of the advice service: which of the workers in the request may run the step, with the text of the ticket
/// for each.
struct AdviceAnswer {
    std::map<WorkerId, std::string> tickets;
    /// How long the tickets are valid, counted from the arrival of the answer.
    Milliseconds validFor { 0 };
};

} // namespace Greengage
