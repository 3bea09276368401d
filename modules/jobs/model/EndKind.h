#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// How an attempt ended on its worker, as reported by the worker.
enum class EndKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken,
    GangIncomplete,
    /// A kind that this release does not know. The task starts again.
    Unknown,
};

template <> struct EnumNames<EndKind> {
    static constexpr std::array<std::pair<EndKind, std::string_view>, 7> table { {
        { EndKind::Done, "done" },
        { EndKind::Failed, "failed" },
        { EndKind::Stopped, "stopped" },
        { EndKind::LeaseExpired, "lease_lapsed" },
        { EndKind::GangBroken, "gang_broken" },
        { EndKind::GangIncomplete, "gang_incomplete" },
        { EndKind::Unknown, "unknown" },
    } };
};

} // namespace Greengage
