#pragma once

#include <config/merge/KeyChange.h>
#include <core/text/EnumNames.h>

#include <string>
#include <vector>

namespace Greengage {

/// How a section differs between two texts.
enum class SectionChangeKind {
    Added,
    Altered,
    /// Only comments, spacing or the order of keys differ.
    Reworded,
    Removed,
};

template <> struct EnumNames<SectionChangeKind> {
    static constexpr std::array<std::pair<SectionChangeKind, std::string_view>, 4> table { {
        { SectionChangeKind::Added, "added" },
        { SectionChangeKind::Altered, "altered" },
        { SectionChangeKind::Reworded, "reworded" },
        { SectionChangeKind::Removed, "removed" },
    } };
};

/// A section that differs between two texts.
struct SectionChange {
    std::string section;
    SectionChangeKind kind = SectionChangeKind::Altered;
    std::vector<KeyChange> keys;
};

} // namespace Greengage
