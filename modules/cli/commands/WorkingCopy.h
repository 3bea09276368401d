#pragma once

#include <config/admin/StatusReport.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// An operator's copy of the document: the text, and the revision that it was edited from. `show` writes the revision
/// into a comment on the first line, and the other commands read it from there; the line is no part of the document.
struct WorkingCopy {
    /// Nothing if the copy does not begin with the line that `show` writes.
    std::optional<std::uint64_t> baseRevision;
    std::string text;
    /// Whether the file begins with that line, above the text.
    bool hasRevisionLine = false;

    static WorkingCopy parse(std::string_view content);

    /// The line for a revision, with its newline. It names the daemons that have applied the revision and those that
    /// have not.
    static std::string revisionLine(std::uint64_t revision, const StatusReport&);

    /// The line for a revision that is no longer the newest.
    static std::string olderRevisionLine(std::uint64_t revision, std::uint64_t newest);
};

} // namespace Greengage
