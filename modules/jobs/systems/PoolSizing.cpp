#include <jobs/systems/PoolSizing.h>

#include <jobs/model/JobSpec.h>
#include <jobs/systems/PoolLoad.h>
#include <jobs/tables/JobTables.h>

#include <algorithm>
#include <cmath>

namespace Greengage {

namespace {

/// Returns the weight, after `age`, of a contribution to the exponential average over the arrival window.
double decayFactor(Microseconds age)
{
    constexpr auto window = std::chrono::duration_cast<Microseconds>(PoolSizing::arrivalWindow);
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(window.count()));
}

std::int64_t vmsFor(std::int64_t amount, std::int64_t perVm) { return perVm ? (amount + perVm - 1) / perVm : 0; }

/// Returns the number of VMs that together have this much processor time and this much memory.
std::int64_t vmsFor(const ResourceAmount& amount, const ResourceAmount& perVm)
{
    return std::max(vmsFor(amount.cpuMillis, perVm.cpuMillis), vmsFor(amount.memoryMegabytes, perVm.memoryMegabytes));
}

} // namespace

void PoolSizing::recordArrival(const PoolId& pool, const JobSpec& spec, Instant now)
{
    double work = 0;
    for (const auto& step : spec.steps) {
        if (!step.longRunning && !step.bestEffort)
            work += static_cast<double>(step.taskCount) * static_cast<double>(step.demand.cpuMillis)
                * static_cast<double>(step.estimate.count());
    }
    Arrivals& entry = this->arrivals[pool];
    entry.cpuMillis = entry.cpuMillis * decayFactor(now - entry.at) + work / static_cast<double>(arrivalWindow.count());
    entry.at = now;
}

double PoolSizing::arrivingCpuMillis(const PoolId& pool, Instant now) const
{
    auto found = this->arrivals.find(pool);
    return found == this->arrivals.end() ? 0 : found->second.cpuMillis * decayFactor(now - found->second.at);
}

std::vector<MoveOrder> PoolSizing::advance(const std::map<VmId, VmInfo>& vms,
    const std::map<PoolId, std::int64_t>& incoming, const std::set<VmId>& busy, const std::set<VmId>& pinned,
    Instant now, std::int64_t nowUnixMs)
{
    const auto& pools = this->tables.policies->pools;
    auto sparePool = std::find_if(pools.begin(), pools.end(), [](const auto& entry) { return entry.second.spare; });
    if (sparePool == pools.end())
        return {};
    std::vector<VmId> spare;
    for (const auto& [id, info] : vms) {
        if (info.pool == sparePool->first && info.state == VmPhase::Up && !busy.contains(id) && !pinned.contains(id))
            spare.push_back(id);
    }
    auto needs = this->measureNeeds(vms, incoming, busy, pinned, now, nowUnixMs);
    for (const auto& [pool, need] : needs) {
        auto [entry, isNew] = this->lastAllNeededAt.try_emplace(pool, now);
        if (need.required >= need.current)
            entry->second = now;
    }
    std::vector<MoveOrder> orders;
    this->growPools(needs, spare, sparePool->first, orders);
    this->releaseIdleVms(needs, sparePool->first, now, orders);
    return orders;
}

std::map<PoolId, PoolSizing::Need> PoolSizing::measureNeeds(const std::map<VmId, VmInfo>& vms,
    const std::map<PoolId, std::int64_t>& incoming, const std::set<VmId>& busy, const std::set<VmId>& pinned,
    Instant now, std::int64_t nowUnixMs) const
{
    std::map<PoolId, ResourceAmount> capacities;
    std::map<PoolId, Need> needs;
    for (const auto& [id, info] : vms) {
        auto policy = this->tables.policies->pools.find(info.pool);
        if (policy == this->tables.policies->pools.end() || policy->second.spare || info.state != VmPhase::Up)
            continue;
        const WorkerRow* worker = this->tables.findWorker(info.worker);
        if (busy.contains(id) || (worker && worker->isLeaving()))
            continue;
        Need& need = needs[info.pool];
        need.current += 1;
        capacities[info.pool] += info.capacity;
        if (this->isIdle(info) && !pinned.contains(id))
            need.idle.push_back(id);
    }
    auto loads = PoolLoad::measure(this->tables, nowUnixMs);
    for (const auto& [id, policy] : this->tables.policies->pools) {
        if (policy.spare)
            continue;
        Need& need = needs[id];
        need.required = this->requiredVms(id, loads[id], need.current, capacities[id], now);
        if (auto found = incoming.find(id); found != incoming.end())
            need.current += found->second;
    }
    return needs;
}

std::int64_t PoolSizing::requiredVms(
    const PoolId& pool, const PoolLoad& load, std::int64_t vmCount, const ResourceAmount& capacity, Instant now) const
{
    if (!vmCount)
        return reserveVms;
    ResourceAmount vm { capacity.cpuMillis / vmCount, capacity.memoryMegabytes / vmCount, 0 };
    auto arriving = static_cast<std::int64_t>(this->arrivingCpuMillis(pool, now)) * arrivalMarginPercent / 100;
    ResourceAmount expected = load.longRunning;
    expected.cpuMillis += arriving;
    std::int64_t forWork = std::max(vmsFor(load.occupied + load.waiting, vm), vmsFor(expected, vm)) + reserveVms;
    if (auto additional = std::max<std::int64_t>(vmsFor(load.unplaceable, vm), load.additionalWorkers))
        forWork = std::max(forWork, static_cast<std::int64_t>(load.workers) + additional);
    return std::max<std::int64_t>(forWork, load.minimumWorkers + 1);
}

bool PoolSizing::isIdle(const VmInfo& vm) const
{
    const WorkerRow* worker = this->tables.findWorker(vm.worker);
    return worker && worker->isReached && !worker->isSuspect && worker->attempts.empty() && worker->orphans.empty();
}

void PoolSizing::growPools(
    std::map<PoolId, Need>& needs, std::vector<VmId>& spare, const PoolId& sparePool, std::vector<MoveOrder>& orders)
{
    while (true) {
        auto neediest = std::max_element(needs.begin(), needs.end(), [](const auto& left, const auto& right) {
            return left.second.required - left.second.current < right.second.required - right.second.current;
        });
        if (neediest == needs.end() || neediest->second.required <= neediest->second.current)
            return;
        // An idle VM of another pool is running already, and moving it directly saves the detour over the spare pool.
        auto donor = std::max_element(needs.begin(), needs.end(), [](const auto& left, const auto& right) {
            auto surplus = [](const Need& need) { return need.idle.empty() ? -1 : need.current - need.required; };
            return surplus(left.second) < surplus(right.second);
        });
        if (!donor->second.idle.empty() && donor->second.current > donor->second.required) {
            orders.push_back({ donor->second.idle.back(), donor->first, neediest->first });
            donor->second.idle.pop_back();
            donor->second.current -= 1;
        } else if (!spare.empty()) {
            orders.push_back({ spare.back(), sparePool, neediest->first });
            spare.pop_back();
        } else
            return;
        neediest->second.current += 1;
    }
}

void PoolSizing::releaseIdleVms(
    std::map<PoolId, Need>& needs, const PoolId& sparePool, Instant now, std::vector<MoveOrder>& orders)
{
    for (auto& [pool, need] : needs) {
        if (now - this->lastAllNeededAt.at(pool) < idleRetention)
            continue;
        while (need.current > need.required && !need.idle.empty()) {
            orders.push_back({ need.idle.back(), pool, sparePool });
            need.idle.pop_back();
            need.current -= 1;
        }
    }
}

} // namespace Greengage
