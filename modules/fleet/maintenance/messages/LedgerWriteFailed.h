#pragma once

namespace Greengage {

/// This daemon's UpdateLedger failed: refused because of its version, not sent, or sent without an answer. It may have
/// taken effect, so the plane reads the ledger again before it decides anything else.
struct LedgerWriteFailed { };

} // namespace Greengage
