#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// Names the work of one team on one service.
struct ServiceTeam {
    ServiceId service;
    TeamId team;

    friend auto operator<=>(const ServiceTeam&, const ServiceTeam&) = default;
};

} // namespace Greengage
