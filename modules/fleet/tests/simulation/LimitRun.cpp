#include <fleet/tests/simulation/LimitRun.h>

#include <fleet/tests/simulation/SampleDocument.h>

namespace Greengage {

namespace {

constexpr int endpointCount = 20;
constexpr double meanRunTimeSeconds = 0.2;
constexpr int samplesPerSecond = 100;

FleetOptions makeOptions(LimitSplit split, std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.endpointsPerService = endpointCount;
    options.policy.limits = split;
    return options;
}

} // namespace

LimitRun::LimitRun(LimitSplit split, int limit, std::uint64_t seed)
    : fleet(makeOptions(split, seed))
    , limit(limit)
{
    this->fleet.accept(makeSampleDocument(1, 1, limit, endpointCount));
    for (std::size_t daemon = 0; daemon < this->fleet.daemons.size(); ++daemon)
        this->fleet.start(daemon);
    this->fleet.run(Seconds(8));
}

double LimitRun::usedPercent(int loadedDaemons, int seconds)
{
    double sum = 0;
    int samples = seconds * samplesPerSecond;
    double perSample = 2.0 * this->limit / meanRunTimeSeconds / samplesPerSecond;
    double credit = 0;
    for (int sample = 0; sample < samples; ++sample) {
        for (credit += perSample; credit >= 1; credit -= 1)
            this->submit(loadedDaemons);
        this->fleet.run(Milliseconds(1000 / samplesPerSecond));
        sum += this->fleet.runningOf("t0");
    }
    return 100.0 * sum / samples / this->limit;
}

void LimitRun::submit(int loadedDaemons)
{
    auto daemon = static_cast<std::size_t>(this->fleet.pick(loadedDaemons));
    if (!this->fleet.daemons[daemon].alive)
        daemon = (daemon + 1) % this->fleet.daemons.size();
    this->fleet.submit(daemon, "q0", "k0", Seconds(2), Milliseconds(100 + this->fleet.pick(200)));
}

} // namespace Greengage
