#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>

#include <map>
#include <string>

namespace Greengage {

/// The workers that may run a step, of those asked about, with the text of the ticket for each.
struct AdviceAnswer {
    std::map<WorkerId, std::string> fit;
    /// How long the tickets are valid from now on.
    Milliseconds validFor { 0 };
};

} // namespace Greengage
