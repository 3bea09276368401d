#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

namespace Greengage {

/// A change of a VM's state in a wave that this daemon wrote to the ledger.
enum class WaveEventKind {
    DrainStarted,
    Drained,
    Rejoining,
    Finished,
    /// The drain was cancelled because the VM did not drain in time.
    DrainTimedOut,
    /// The drain was cancelled because unplanned failures used up the budget, or because of a rollback.
    DrainCancelled,
    /// The VM was dropped because the document no longer lists it.
    Dropped,
};

template <> struct EnumNames<WaveEventKind> {
    static constexpr std::array<std::pair<WaveEventKind, std::string_view>, 7> table { {
        { WaveEventKind::DrainStarted, "drain_started" },
        { WaveEventKind::Drained, "drained" },
        { WaveEventKind::Rejoining, "rejoining" },
        { WaveEventKind::Finished, "finished" },
        { WaveEventKind::DrainTimedOut, "drain_timed_out" },
        { WaveEventKind::DrainCancelled, "drain_cancelled" },
        { WaveEventKind::Dropped, "dropped" },
    } };
};

/// A log event, emitted once the write that contains the change has succeeded.
struct WaveEvent {
    WaveEventKind kind = WaveEventKind::DrainStarted;
    VmId vm;
    WaveId wave;
};

} // namespace Greengage
