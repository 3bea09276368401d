#pragma once

#include <core/text/EnumNames.h>
#include <core/time/Instant.h>

#include <string>

namespace Greengage {

/// What happened to work on an endpoint.
enum class WorkChange {
    Start,
    End,
    /// The endpoint crashed while it ran the work.
    Killed,
};

template <> struct EnumNames<WorkChange> {
    static constexpr std::array<std::pair<WorkChange, std::string_view>, 3> table { {
        { WorkChange::Start, "start" },
        { WorkChange::End, "end" },
        { WorkChange::Killed, "killed" },
    } };
};

/// An endpoint has started or ended work.
struct WorkEvent {
    WorkChange change = WorkChange::Start;
    std::string request;
    std::string call;
    std::string team;
    std::string vm;
    Instant at;
};

} // namespace Greengage
