#pragma once

#include <core/text/Identifier.h>

#include <map>

namespace Greengage {

/// How much work of one incarnation an endpoint has reported, by team.
struct EndpointReport {
    std::map<TeamId, int> running;
};

} // namespace Greengage
