#pragma once

#include <core/text/Identifier.h>
#include <fleet/requests/sharing/DaemonDemand.h>
#include <fleet/requests/sharing/ServiceTeam.h>
#include <fleet/requests/tables/Tick.h>

#include <map>
#include <vector>

namespace Greengage {

/// The demand of this daemon and of the peers whose state arrived recently. Every list has one entry for each of these
/// daemons, ordered by incarnation.
class LiveDemand {
public:
    explicit LiveDemand(const Tick&);

    std::vector<DaemonDemand> ofTeam(const TeamId&) const;
    std::vector<DaemonDemand> ofService(const ServiceId&) const;
    /// Running requests of all daemons together, for each team and service that has any.
    const std::map<ServiceTeam, int>& running() const { return this->runningTotals; }
    /// Index of this daemon in the lists.
    std::size_t ownIndex() const { return this->ownPosition; }

private:
    void add(const Tick&, std::size_t index, const QueueId&, const TeamId&, int running, int waiting);
    std::vector<DaemonDemand> emptyList() const;

    std::vector<IncarnationId> incarnations;
    std::size_t ownPosition = 0;
    std::map<TeamId, std::vector<DaemonDemand>> byTeam;
    std::map<ServiceId, std::vector<DaemonDemand>> byService;
    std::map<ServiceTeam, int> runningTotals;
};

} // namespace Greengage
