#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// Who may submit to a queue.
enum class QueueAccess {
    /// Only callers that present a team's valid key.
    Keyed,
    /// Everybody. Requests without a key are accounted to the queue's own team.
    Open,
};

template <> struct EnumNames<QueueAccess> {
    static constexpr std::array<std::pair<QueueAccess, std::string_view>, 2> table { {
        { QueueAccess::Keyed, "keyed" },
        { QueueAccess::Open, "open" },
    } };
};

/// The priority of a queue's requests, highest first.
enum class Priority {
    Urgent,
    Normal,
    Batch,
};

template <> struct EnumNames<Priority> {
    static constexpr std::array<std::pair<Priority, std::string_view>, 3> table { {
        { Priority::Urgent, "urgent" },
        { Priority::Normal, "normal" },
        { Priority::Batch, "batch" },
    } };
};

/// A named queue that accepts requests for one service.
struct Queue {
    QueueId name;
    std::string owner;
    ServiceId service;
    QueueAccess access = QueueAccess::Keyed;
    Priority priority = Priority::Normal;
    /// Whether a request may be sent to another endpoint although an earlier one may already have started it.
    bool idempotent = false;
    /// Longest deadline that a caller may set for a request, waiting and running together, in milliseconds.
    int maxDeadlineMilliseconds = 30000;
    /// Maximum number of requests of one team that may wait in one daemon.
    int maxWaitingPerTeam = 256;
    int line = 0;
};

} // namespace Greengage
