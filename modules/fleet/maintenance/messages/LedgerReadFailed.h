#pragma once

namespace Greengage {

/// This daemon's ReadLedger failed; the plane retries later.
struct LedgerReadFailed { };

} // namespace Greengage
