#include <cstdio>
#include <fleet/tests/simulation/OrderRun.h>
#include <initializer_list>
#include <tests/measure/requests/Measurements.h>

namespace Greengage {

namespace {

constexpr int seeds = 20;

} // namespace

void measureOrders()
{
    std::printf("\nOrders: 400 a seed, each submitted up to four times under faults; seeds 1 to %d\n", seeds);
    std::puts(
        "| claims | orders | begun twice or more | never begun | submissions answered unknown % | untrue not run |");
    std::puts("| --- | --- | --- | --- | --- | --- |");
    for (bool withKeys : { true, false }) {
        OrderResult sum;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            auto result = runOrders(withKeys, seed);
            sum.orders += result.orders;
            sum.started += result.started;
            sum.startedTwice += result.startedTwice;
            sum.submissions += result.submissions;
            sum.unknown += result.unknown;
            sum.falseNotRun += result.falseNotRun;
        }
        std::printf("| %s | %d | %d | %d | %.1f | %d |\n", withKeys ? "yes" : "no", sum.orders, sum.startedTwice,
            sum.orders - sum.started, 100.0 * sum.unknown / sum.submissions, sum.falseNotRun);
    }
}

} // namespace Greengage
