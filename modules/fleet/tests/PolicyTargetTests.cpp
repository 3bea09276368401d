#include <boost/test/unit_test.hpp>
#include <fleet/tests/simulation/BurstRun.h>
#include <fleet/tests/simulation/LimitRun.h>
#include <fleet/tests/simulation/SampleDocument.h>

using namespace Greengage;

BOOST_AUTO_TEST_SUITE(PolicyTargets)

BOOST_AUTO_TEST_CASE(burstOfOneTeamChangesTheOthersByAtMostTenPercent)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        auto calm = runBurst(RequestPolicy {}, false, seed);
        auto burst = runBurst(RequestPolicy {}, true, seed);
        BOOST_TEST(burst.othersAnsweredPercent >= 0.9 * calm.othersAnsweredPercent);
        BOOST_TEST(burst.othersP99Milliseconds <= 1.1 * calm.othersP99Milliseconds);
        BOOST_TEST(burst.sendsPerRequest <= 1.1);
    }
}

BOOST_AUTO_TEST_CASE(limitStaysUsableAtOneDaemonAndAfterAnIdleDaemonIsKilled)
{
    for (int limit : { 10, 30 }) {
        LimitRun run(LimitSplit::Escrow, limit, 1);
        run.usedPercent(1, 2);
        BOOST_TEST(run.usedPercent(1, 10) >= 95.0);
        run.fleet.kill(6);
        run.usedPercent(1, 1);
        BOOST_TEST(run.usedPercent(1, 10) >= 90.0);
    }
}

BOOST_AUTO_TEST_CASE(limitIsUsableAgainOnceAllotmentsOfExpiredDaemonsAreReclaimed)
{
    LimitRun run(LimitSplit::Escrow, 30, 1);
    run.usedPercent(7, 3);
    run.fleet.kill(3);
    run.fleet.kill(6);
    run.usedPercent(7, 22);
    BOOST_TEST(run.usedPercent(7, 5) >= 90.0);
}

BOOST_AUTO_TEST_CASE(everyDaemonGetsUnitsWhileAllAreLoaded)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        LimitRun run(LimitSplit::Escrow, 100, seed);
        run.usedPercent(7, 4);
        for (const auto& daemon : run.fleet.daemons) {
            auto state = daemon.plane->describe(run.fleet.clock.current());
            int running = state.demand.empty() ? 0 : state.demand.front().running;
            BOOST_TEST(running >= 100 / 7 / 2);
            BOOST_TEST(running <= 100 / 7 * 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(withdrawnKeyStopsWithinFiveSecondsInAPartitionedZone)
{
    FleetOptions options;
    SimulatedFleet fleet(options);
    fleet.accept(makeSampleDocument(1, 1, 60, options.endpointsPerService));
    for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon)
        fleet.start(daemon);
    fleet.run(Seconds(5));
    Instant lastBegun = Instant::min();
    fleet.onBegin = [&](const RunningWork&) { lastBegun = fleet.clock.current(); };
    auto withdrawnAt = fleet.clock.current();
    auto document = makeSampleDocument(2, 1, 60, options.endpointsPerService);
    document->keys.clear();
    fleet.cutZone("z1", true);
    fleet.freeze(5);
    fleet.accept(document);
    fleet.after(Seconds(9), [&] { fleet.wake(5); });
    for (int step = 0; step < 1000; ++step) {
        fleet.submit(static_cast<std::size_t>(fleet.pick(options.daemons)), "q0", "k0", Seconds(15), Milliseconds(50));
        fleet.run(Milliseconds(20));
    }
    BOOST_TEST((lastBegun > withdrawnAt));
    BOOST_TEST((lastBegun <= withdrawnAt + Seconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()
