#pragma once

namespace Greengage {

/// Our ReadLedger failed; the plane asks again later.
struct LedgerReadFailed { };

} // namespace Greengage
