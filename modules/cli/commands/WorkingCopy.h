#pragma once

#include <config/admin/StatusReport.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// An operator's copy of the document: the text and its base revision, the revision that it was edited from. `show`
/// writes the revision as a comment on the first line, where the other commands read it. That line is not part of the
/// document.
struct WorkingCopy {
    /// Empty if the copy does not begin with a revision line.
    std::optional<std::uint64_t> baseRevision;
    std::string text;
    /// Whether the file begins with a revision line, which `text` does not contain.
    bool hasRevisionLine = false;

    static WorkingCopy parse(std::string_view content);

    /// Formats the revision line of the newest revision, with a newline. It names the daemons that have applied the
    /// revision and those that have not.
    static std::string revisionLine(std::uint64_t revision, const StatusReport&);

    /// Formats the revision line of a revision that is no longer the newest, with a newline.
    static std::string olderRevisionLine(std::uint64_t revision, std::uint64_t newest);
};

} // namespace Greengage
