#pragma once

namespace Greengage {

/// The daemon must shut down: new requests are refused, accepted ones are finished and allotments are handed back.
struct ShutdownRequested { };

} // namespace Greengage
