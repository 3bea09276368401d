#include "ServiceWave.h"

#include "WaveChooser.h"

#include <fleet/maintenance/plan/WavePlan.h>

#include <map>
#include <random>

namespace Greengage {

namespace {

constexpr int services = 5;
constexpr int smallestService = 8;
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
    const int count = smallestService + number;
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
    std::uniform_int_distribution<> span(shortestSeconds, longestSeconds);
    std::map<VmId, Seconds> spans;
    for (const auto& record : chooser.vms())
        spans[record.id] = Seconds(span(random));
    ServiceWaveFigures figures;
    const auto plan = planWave(chooser.sharedPlan(), chooser.vms(), chooser.plan().waves[0], meanSeconds);
    figures.boundSeconds = static_cast<double>(plan.lowerBound.count());
    std::multimap<Instant, VmId> returns;
    Instant now { Seconds(1) };
    while (!chooser.isDone()) {
        for (const auto& vm : chooser.choose(now))
            returns.emplace(now + spans.at(vm), vm);
        const auto next = returns.begin()->first;
        const auto passed = std::chrono::duration<double>(next - now).count();
        figures.outHours += passed * static_cast<double>(chooser.ledger().vms.size()) / 3600.0;
        figures.rollOutSeconds += passed;
        now = next;
        while (!returns.empty() && returns.begin()->first <= now) {
            chooser.ledger().erase(returns.begin()->second);
            returns.erase(returns.begin());
        }
    }
    return figures;
}

} // namespace Greengage
