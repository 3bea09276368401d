#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

#include <string>

namespace Greengage {

/// Who may submit to a queue.
enum class QueueAccess {
    /// Only callers that show a valid key of a team.
    Keyed,
    /// Everybody. Work without a key counts for the queue's own team.
    Open,
};

template <> struct EnumNames<QueueAccess> {
    static constexpr std::array<std::pair<QueueAccess, std::string_view>, 2> table { {
        { QueueAccess::Keyed, "keyed" },
        { QueueAccess::Open, "open" },
    } };
};

/// How urgent the work of a queue is.
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

/// A named entrance for requests to one service.
struct Queue {
    QueueId name;
    std::string owner;
    ServiceId service;
    QueueAccess access = QueueAccess::Keyed;
    Priority priority = Priority::Normal;
    /// Whether a request may be sent to a second endpoint after the first may have begun it.
    bool idempotent = false;
    /// Longest time a caller may ask a request to wait and run, in milliseconds.
    int maxDeadlineMilliseconds = 30000;
    /// How many requests of one team may wait in one daemon.
    int maxWaitingPerTeam = 256;
    int line = 0;
};

} // namespace Greengage
