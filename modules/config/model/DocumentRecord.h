#pragma once

#include <config/model/ChangeSummary.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// The value that the store keeps under the key "config/document": the current text and its most recent changes.
struct DocumentRecord {
    /// Incremented by one with each accepted change.
    std::uint64_t revision = 0;
    /// The most recent changes, newest first. The first entry created this revision.
    std::vector<ChangeSummary> changes;
    std::string text;
};

} // namespace Greengage
