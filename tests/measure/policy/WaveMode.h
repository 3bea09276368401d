#pragma once

namespace Greengage {

/// How a measured wave chooses what to take next.
enum class WaveMode {
    /// The policy: as many at once as budgets let, those with most rounds left first.
    Ordered,
    /// As many at once as budgets let, in the order of the document.
    FixedOrder,
    /// In the order of the document, the next batch only when all of the last has returned; the last
    /// batch stands in for it. The first batch are the spares.
    Batches,
};

} // namespace Greengage
