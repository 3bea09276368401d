#pragma once

#include <core/text/Identifier.h>

#include <map>

namespace Greengage {

/// The running requests of one incarnation that an endpoint has reported, by team.
struct EndpointReport {
    std::map<TeamId, int> running;
};

} // namespace Greengage
