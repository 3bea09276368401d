#include "ServiceWave.h"

#include "WaveChooser.h"

#include <fleet/maintenance/plan/WavePlan.h>

#include <map>
#include <random>

namespace Greengage {

namespace {

constexpr int services = 5;
constexpr int smallestServiceVms = 8;
constexpr int shortestSeconds = 90;
constexpr int longestSeconds = 150;
constexpr Seconds meanSeconds((shortestSeconds + longestSeconds) / 2);

void addService(WaveChooser& chooser, int number, int zones)
{
    Service service;
    service.name = ServiceId("service-" + std::to_string(number));
    service.maxUnavailable = 2;
    Pool pool;
    pool.name = PoolId(service.name.string());
    pool.service = service.name;
    const int count = smallestServiceVms + number;
    for (int index = 0; index < count; index++) {
        VmRecord record;
        record.id = VmId(service.name.string() + "-" + std::to_string(100 + index));
        record.zone = ZoneId("zone-" + std::to_string(index * zones / count));
        record.rack = RackId(record.id.string());
        chooser.addRecord(record);
        pool.vms.push_back(record.id);
    }
    chooser.addPool(service, pool);
}

} // namespace

ServiceWaveFigures runServiceWave(int zones, WaveMode mode, unsigned seed)
{
    WaveChooser chooser(mode);
    for (int number = 0; number < services; number++)
        addService(chooser, number, zones);
    chooser.begin(2 * services);
    std::mt19937 random(seed);
    std::uniform_int_distribution<> outageSeconds(shortestSeconds, longestSeconds);
    std::map<VmId, Seconds> outages;
    for (const auto& record : chooser.vms())
        outages[record.id] = Seconds(outageSeconds(random));
    ServiceWaveFigures figures;
    const auto plan = planWave(chooser.sharedPlan(), chooser.vms(), chooser.plan().waves[0], meanSeconds);
    figures.boundSeconds = static_cast<double>(plan.lowerBound.count());
    std::multimap<Instant, VmId> returnTimes;
    Instant now { Seconds(1) };
    while (!chooser.isDone()) {
        for (const auto& vm : chooser.choose(now))
            returnTimes.emplace(now + outages.at(vm), vm);
        const auto next = returnTimes.begin()->first;
        const auto passed = std::chrono::duration<double>(next - now).count();
        figures.outOfServiceHours += passed * static_cast<double>(chooser.ledger().vms.size()) / 3600.0;
        figures.rollOutSeconds += passed;
        now = next;
        while (!returnTimes.empty() && returnTimes.begin()->first <= now) {
            chooser.ledger().erase(returnTimes.begin()->second);
            returnTimes.erase(returnTimes.begin());
        }
    }
    return figures;
}

} // namespace Greengage
