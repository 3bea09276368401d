#pragma once

namespace Greengage {

/// The daemon is to stop: new requests are refused, those accepted are finished, allotments are handed back.
struct ShutdownRequested { };

} // namespace Greengage
