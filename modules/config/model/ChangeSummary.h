#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// One accepted change of the document. The store keeps the full text under "config/history/<changeId>".
struct ChangeSummary {
    std::uint64_t revision = 0;
    /// Chosen at random by the submitter, so that a submission repeated after a lost answer is recognised as accepted.
    std::string changeId;
    std::string author;
    /// Milliseconds since the Unix epoch, by the clock of the daemon that accepted the change.
    std::int64_t acceptedAtUnixMilliseconds = 0;
    /// Headers of the sections that the change added, altered or removed, such as "team dispatch".
    std::vector<std::string> sections;
};

} // namespace Greengage
