#pragma once

namespace Greengage {

/// Whether a worker may receive work.
enum class WorkerHealth {
    Healthy,
    /// Its attempts kept failing; it receives no work.
    Quarantined,
    /// It receives one idempotent task, to test whether it works again.
    Probing,
};

} // namespace Greengage
