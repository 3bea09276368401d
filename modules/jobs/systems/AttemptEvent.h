#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>
#include <jobs/model/TaskName.h>

#include <cstdint>

namespace Greengage {

enum class AttemptEventKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken,
    GangIncomplete,
    /// It ended in a way that this release does not know.
    UnknownEnd,
    /// The worker does not list the attempt, although it did before or should.
    Lost,
    /// Found on a worker, and started by an earlier leader.
    Adopted,
    /// Found on a worker that should not run it.
    Unwanted,
};

template <> struct EnumNames<AttemptEventKind> {
    static constexpr std::array<std::pair<AttemptEventKind, std::string_view>, 10> table { {
        { AttemptEventKind::Done, "done" },
        { AttemptEventKind::Failed, "failed" },
        { AttemptEventKind::Stopped, "stopped" },
        { AttemptEventKind::LeaseExpired, "lease_lapsed" },
        { AttemptEventKind::GangBroken, "gang_broken" },
        { AttemptEventKind::GangIncomplete, "gang_incomplete" },
        { AttemptEventKind::UnknownEnd, "unknown_end" },
        { AttemptEventKind::Lost, "lost" },
        { AttemptEventKind::Adopted, "adopted" },
        { AttemptEventKind::Unwanted, "unwanted" },
    } };
};

/// A change in the state of an attempt, found in a worker's report.
struct AttemptEvent {
    AttemptEventKind kind = AttemptEventKind::Lost;
    TaskName task;
    std::uint32_t run = 0;
    WorkerId worker;
};

} // namespace Greengage
