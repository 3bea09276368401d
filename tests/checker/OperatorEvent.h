#pragma once

#include <core/text/EnumNames.h>
#include <core/time/Instant.h>

#include <string>

namespace Greengage {

/// What an operator or the platform has changed.
enum class OperatorChange {
    /// A key's withdrawal has been accepted.
    Withdrawn,
    /// A team's upper limit has been accepted.
    Limit,
    VmLeaving,
    VmLive,
};

template <> struct EnumNames<OperatorChange> {
    static constexpr std::array<std::pair<OperatorChange, std::string_view>, 4> table { {
        { OperatorChange::Withdrawn, "withdrawn" },
        { OperatorChange::Limit, "limit" },
        { OperatorChange::VmLeaving, "vm_leaving" },
        { OperatorChange::VmLive, "vm_live" },
    } };
};

/// A change of what callers or endpoints may do.
struct OperatorEvent {
    OperatorChange change = OperatorChange::Limit;
    /// The key, the team or the VM that it is about.
    std::string subject;
    /// The limit, for Limit.
    int limit = 0;
    Instant at;
};

} // namespace Greengage
