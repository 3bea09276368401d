#pragma once

#include <config/model/ChangeSummary.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// What the store keeps under the key "config/document": the text in force and who changed what of late.
struct DocumentRecord {
    /// Grows by one with each accepted change.
    std::uint64_t revision = 0;
    /// The newest changes, the last one first. Its first entry made this revision.
    std::vector<ChangeSummary> changes;
    std::string text;
};

} // namespace Greengage
