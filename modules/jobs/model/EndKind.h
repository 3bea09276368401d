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
};

template <> struct EnumNames<EndKind> {
    static constexpr std::array<std::pair<EndKind, std::string_view>, 6> table { {
        { EndKind::Done, "done" },
        { EndKind::Failed, "failed" },
        { EndKind::Stopped, "stopped" },
        { EndKind::LeaseExpired, "lease_lapsed" },
        { EndKind::GangBroken, "gang_broken" },
        { EndKind::GangIncomplete, "gang_incomplete" },
    } };
};

} // namespace Greengage
