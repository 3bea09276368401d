#pragma once

namespace Greengage {

/// This daemon's UpdateAllotments failed. With `mayHaveTakenEffect`, the write counts as made until the value has been
/// read again.
struct AllotmentsWriteFailed {
    bool mayHaveTakenEffect = false;
};

} // namespace Greengage
