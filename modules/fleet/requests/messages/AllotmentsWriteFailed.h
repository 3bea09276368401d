#pragma once

namespace Greengage {

/// Our UpdateAllotments failed. With `mayHaveTakenEffect` it counts as made until the value has been read again.
struct AllotmentsWriteFailed {
    bool mayHaveTakenEffect = false;
};

} // namespace Greengage
