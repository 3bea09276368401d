#pragma once

#include <tests/site/ServicePlan.h>

#include <map>
#include <string>
#include <vector>

namespace Greengage {

/// The composition of a test site.
struct SitePlan {
    /// Availability zone of each daemon, counted from 1.
    std::vector<int> daemonZones { 1, 1, 2, 2, 3, 3, 4 };
    int zones = 4;
    std::vector<ServicePlan> services;
    /// Upper limit of each team.
    std::map<std::string, int> limits;
    /// Whether daemons reach each other, the store and the endpoints through the relay.
    bool relayed = false;
    /// Run time of work whose request gives none.
    int runMilliseconds = 20;

    /// Five services of 8 to 12 endpoints, about 50 in all, and four teams.
    static SitePlan workshop();

    /// Two daemons in each of two zones and two services of four endpoints each; the queue of one is not idempotent.
    static SitePlan small();
};

} // namespace Greengage
