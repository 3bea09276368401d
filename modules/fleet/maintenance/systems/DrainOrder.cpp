#include <config/model/Service.h>
#include <fleet/maintenance/systems/DrainOrder.h>
#include <fleet/maintenance/systems/FleetView.h>

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace Greengage {

namespace {

/// The number of VMs of one service that still need maintenance.
struct Backlog {
    double service = 0;
    std::map<ZoneId, double> byZone;
    std::map<RackId, double> byRack;
};

/// The rounds still needed under each bound.
struct RoundsLeft {
    double service = 0;
    double zone = 0;
    double rack = 0;
    VmMaintenance candidate;
};

bool comesFirst(const RoundsLeft& left, const RoundsLeft& right)
{
    if (left.service != right.service)
        return left.service > right.service;
    if (left.zone != right.zone)
        return left.zone > right.zone;
    if (left.rack != right.rack)
        return left.rack > right.rack;
    return left.candidate.vm < right.candidate.vm;
}

} // namespace

void sortByRoundsLeft(const FleetView& view, std::vector<VmMaintenance>& candidates)
{
    std::unordered_map<ServiceId, Backlog> backlogs;
    for (const auto& candidate : candidates) {
        if (const auto* service = view.serviceOf(candidate.from)) {
            auto& backlog = backlogs[service->name];
            backlog.service += 1.0;
            backlog.byZone[candidate.zone] += 1.0;
            backlog.byRack[candidate.rack] += 1.0;
        }
    }
    std::vector<RoundsLeft> rounds;
    for (const auto& candidate : candidates) {
        RoundsLeft left { 0, 0, 0, candidate };
        if (const auto* service = view.serviceOf(candidate.from)) {
            auto& backlog = backlogs[service->name];
            left.service = backlog.service / std::max(1, service->maxUnavailable);
            left.zone = backlog.byZone[candidate.zone] / std::max(1, service->maxUnavailablePerZone);
            left.rack = backlog.byRack[candidate.rack] / std::max(1, service->maxUnavailablePerRack);
        }
        rounds.push_back(left);
    }
    std::sort(rounds.begin(), rounds.end(), comesFirst);
    for (std::size_t index = 0; index < rounds.size(); index++)
        candidates[index] = rounds[index].candidate;
}

} // namespace Greengage
