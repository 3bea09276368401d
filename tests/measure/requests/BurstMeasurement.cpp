#include <cstdio>
#include <fleet/tests/simulation/BurstRun.h>
#include <tests/measure/requests/Measurements.h>

namespace Greengage {

namespace {

constexpr int seeds = 10;

BurstResult meanOverSeeds(const RequestPolicy& policy, bool isBursting)
{
    BurstResult mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto result = runBurst(policy, isBursting, seed);
        mean.othersAnsweredPercent += result.othersAnsweredPercent / seeds;
        mean.othersP99Milliseconds += result.othersP99Milliseconds / seeds;
        mean.burstAnsweredPercent += result.burstAnsweredPercent / seeds;
        mean.refusals += result.refusals / seeds;
        mean.sendsPerRequest += result.sendsPerRequest / seeds;
    }
    return mean;
}

} // namespace

void measureBursts()
{
    std::printf(
        "\nBursts: one of 5 teams asks five times its mean for 10 s (125%% of the pool); seeds 1 to %d\n", seeds);
    std::puts("| order | slots | load | others answered % | others' 99th percentile ms | bursting team answered % | "
              "refused by full endpoints | sends a request |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (auto order : { ServingOrder::FairShares, ServingOrder::FirstComeFirstServed }) {
        for (auto slots : { SlotUse::Divided, SlotUse::Undivided }) {
            for (bool isBursting : { false, true }) {
                auto mean = meanOverSeeds(RequestPolicy { order, slots, LimitSplit::Escrow }, isBursting);
                std::printf("| %s | %s | %s | %.2f | %.0f | %.1f | %.0f | %.3f |\n", nameOf(order).data(),
                    nameOf(slots).data(), isBursting ? "burst" : "calm", mean.othersAnsweredPercent,
                    mean.othersP99Milliseconds, mean.burstAnsweredPercent, mean.refusals, mean.sendsPerRequest);
            }
        }
    }
}

} // namespace Greengage
