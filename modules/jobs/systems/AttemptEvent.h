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
    LeaseLapsed,
    GangBroken,
    GangIncomplete,
    /// The worker does not list it, though it did or should.
    Lost,
    /// Found on a worker, started by an earlier placing daemon.
    Adopted,
    /// Found on a worker, but not wanted there.
    Unwanted,
};

template <> struct EnumNames<AttemptEventKind> {
    static constexpr std::array<std::pair<AttemptEventKind, std::string_view>, 9> table { {
        { AttemptEventKind::Done, "done" },
        { AttemptEventKind::Failed, "failed" },
        { AttemptEventKind::Stopped, "stopped" },
        { AttemptEventKind::LeaseLapsed, "lease_lapsed" },
        { AttemptEventKind::GangBroken, "gang_broken" },
        { AttemptEventKind::GangIncomplete, "gang_incomplete" },
        { AttemptEventKind::Lost, "lost" },
        { AttemptEventKind::Adopted, "adopted" },
        { AttemptEventKind::Unwanted, "unwanted" },
    } };
};

/// Something learnt about an attempt.
struct AttemptEvent {
    AttemptEventKind kind = AttemptEventKind::Lost;
    TaskName task;
    std::uint32_t run = 0;
    WorkerId worker;
};

} // namespace Greengage
