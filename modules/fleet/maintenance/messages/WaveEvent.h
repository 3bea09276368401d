#pragma once

#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

namespace Greengage {

/// What has happened to a VM in a wave, as this daemon wrote it into the ledger.
enum class WaveEventKind {
    DrainStarted,
    Drained,
    Rejoining,
    Finished,
    /// Put back because it had not drained in time.
    DrainTimedOut,
    /// Put back because unplanned failures have used up the budget, or because of a rollback.
    PutBack,
    /// Dropped because the document no longer names it.
    Dropped,
};

template <> struct EnumNames<WaveEventKind> {
    static constexpr std::array<std::pair<WaveEventKind, std::string_view>, 7> table { {
        { WaveEventKind::DrainStarted, "drain_started" },
        { WaveEventKind::Drained, "drained" },
        { WaveEventKind::Rejoining, "rejoining" },
        { WaveEventKind::Finished, "finished" },
        { WaveEventKind::DrainTimedOut, "drain_timed_out" },
        { WaveEventKind::PutBack, "put_back" },
        { WaveEventKind::Dropped, "dropped" },
    } };
};

/// A line for the log, given when the write that it tells of has succeeded.
struct WaveEvent {
    WaveEventKind kind = WaveEventKind::DrainStarted;
    VmId vm;
    WaveId wave;
};

} // namespace Greengage
