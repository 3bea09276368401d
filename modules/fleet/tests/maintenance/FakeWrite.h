#pragma once

#include <core/time/Instant.h>
#include <fleet/maintenance/messages/UpdateLedger.h>

namespace Greengage {

/// A write that reaches the store at a later instant, possibly after its sender has given up.
struct FakeWrite {
    Instant at;
    Instant sentAt;
    std::size_t daemon = 0;
    int incarnation = 0;
    UpdateLedger update;
    bool answerIsLost = false;
};

} // namespace Greengage
