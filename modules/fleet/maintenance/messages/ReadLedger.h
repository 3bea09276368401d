#pragma once

namespace Greengage {

/// Read the ledger from the store; answered with LedgerRead or LedgerReadFailed.
struct ReadLedger { };

} // namespace Greengage
