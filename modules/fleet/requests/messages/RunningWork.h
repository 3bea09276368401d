#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// One piece of work that an endpoint says is running.
struct RunningWork {
    RequestId request;
    TeamId team;
    IncarnationId incarnation;
};

} // namespace Greengage
