#include <measure/daemon/IdleMeasurement.h>

#include <tests/site/Site.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace Greengage {

namespace {

constexpr int zones = 4;
constexpr int endpointsPerService = 10;
constexpr double bytesInMegabyte = 1024 * 1024;
constexpr double bytesInKilobyte = 1024;
constexpr double percent = 100;
/// Time for connections and first exchanges to complete before the measured window.
constexpr Seconds settleTime { 2 };

SitePlan makePlan(const IdleSize& size)
{
    SitePlan plan;
    plan.zones = zones;
    plan.daemonZones.clear();
    for (int daemon = 0; daemon < size.daemons; ++daemon)
        plan.daemonZones.push_back(1 + daemon % zones);
    for (int first = 0; first < size.endpoints; first += endpointsPerService) {
        std::string number = std::to_string(first / endpointsPerService);
        int count = std::min(endpointsPerService, size.endpoints - first);
        plan.services.push_back({ "service-" + number, "queue-" + number, "team-0", true, count });
    }
    for (int team = 0; team < size.teams; ++team)
        plan.limits["team-" + std::to_string(team)] = 8;
    return plan;
}

/// The sum over all series of one metric on a metrics page.
double sumOfSeries(const std::string& page, const std::string& metric)
{
    double sum = 0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        bool isSeries = line.starts_with(metric + " ") || line.starts_with(metric + "{");
        if (isSeries)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

std::vector<std::string> readPages(Site& site)
{
    std::vector<std::string> pages;
    for (const DaemonLocation& daemon : site.layout().daemons()) {
        HttpRequest call;
        call.address = daemon.address;
        call.port = site.layout().callerPort();
        call.path = "/metrics";
        auto answer = site.http().send(call);
        if (!answer.has_value())
            throw std::runtime_error("cannot read /metrics of daemon " + daemon.name);
        pages.push_back(answer.value().body);
    }
    return pages;
}

/// The mean increase of a metric per daemon.
double meanIncrease(
    const std::vector<std::string>& before, const std::vector<std::string>& after, const std::string& metric)
{
    double sum = 0;
    for (std::size_t index = 0; index < before.size(); ++index)
        sum += sumOfSeries(after[index], metric) - sumOfSeries(before[index], metric);
    return sum / static_cast<double>(before.size());
}

/// The mean value of a metric per daemon.
double meanValue(const std::vector<std::string>& pages, const std::string& metric)
{
    double sum = 0;
    for (const std::string& page : pages)
        sum += sumOfSeries(page, metric);
    return sum / static_cast<double>(pages.size());
}

} // namespace

IdleCost measureIdleSite(const IdleSize& size, Seconds window)
{
    Site site(makePlan(size));
    site.startPlatform();
    site.startDaemons();
    site.applyDocument();
    auto never = [] { return false; };
    site.http().waitUntil(never, settleTime);
    Instant windowBegin = BootClock::now();
    auto before = readPages(site);
    site.http().waitUntil(never, window);
    auto after = readPages(site);
    double seconds = std::chrono::duration<double>(BootClock::now() - windowBegin).count();
    IdleCost cost;
    cost.cpuPercent = meanIncrease(before, after, "process_cpu_seconds_total") / seconds * percent;
    cost.residentMegabytes = meanValue(after, "process_resident_memory_bytes") / bytesInMegabyte;
    cost.privateMegabytes = meanValue(after, "greengage_private_memory_bytes") / bytesInMegabyte;
    cost.meshKilobytesPerSecond = meanIncrease(before, after, "greengage_mesh_bytes_total") / seconds / bytesInKilobyte;
    cost.storeCallsPerSecond = meanIncrease(before, after, "greengage_store_calls_total") / seconds;
    site.stopDaemons(Site::waitLimit);
    return cost;
}

} // namespace Greengage
