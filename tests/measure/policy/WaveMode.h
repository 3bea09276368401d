#pragma once

namespace Greengage {

/// How a measured wave chooses the VMs to drain next.
enum class WaveMode {
    /// The product's policy: as many at once as the budgets allow, those with the most remaining rounds first.
    Ordered,
    /// As many at once as the budgets allow, in the order of the document.
    FixedOrder,
    /// In the order of the document; the next batch starts when the whole previous batch has returned. The returned
    /// batch is kept idle as spares for the next one.
    Batches,
};

} // namespace Greengage
