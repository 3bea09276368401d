#pragma once

namespace Greengage {

/// Whether a worker may be given work.
enum class WorkerHealth {
    Healthy,
    /// It has failed what it was given and gets nothing.
    SetAside,
    /// It gets one task that may be repeated, to see whether it is well again.
    Probing,
};

} // namespace Greengage
