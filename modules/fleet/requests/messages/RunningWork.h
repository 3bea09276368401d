#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// A request that an endpoint reports as running.
struct RunningWork {
    RequestId request;
    TeamId team;
    IncarnationId incarnation;
};

} // namespace Greengage
