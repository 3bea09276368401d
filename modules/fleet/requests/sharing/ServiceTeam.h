#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// Key for the requests of one team at one service.
struct ServiceTeam {
    ServiceId service;
    TeamId team;

    friend auto operator<=>(const ServiceTeam&, const ServiceTeam&) = default;
};

} // namespace Greengage
