#pragma once

#include <core/text/EnumNames.h>
#include <core/time/Instant.h>

#include <string>

namespace Greengage {

/// What was changed by an operator or by the platform.
enum class OperatorChange {
    /// The withdrawal of a key has been accepted.
    Withdrawn,
    /// A new upper limit of a team has been accepted.
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

/// A change by an operator or the platform that affects callers or endpoints.
struct OperatorEvent {
    OperatorChange change = OperatorChange::Limit;
    /// The key, the team or the VM that was changed.
    std::string subject;
    /// The limit, for Limit.
    int limit = 0;
    Instant at;
};

} // namespace Greengage
