#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/RequestOutput.h>

#include <vector>

namespace Greengage {

struct RequestTables;

/// Context of a system within one tick: the tables, the current instant and the outputs so far.
struct Tick {
    RequestTables& tables;
    Instant now;
    std::vector<RequestOutput>& outbox;
};

} // namespace Greengage
