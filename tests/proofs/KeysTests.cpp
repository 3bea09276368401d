#include <checker/HistoryChecker.h>
#include <csignal>
#include <tests/proofs/ProofSite.h>

using namespace Greengage;

namespace {

const std::string bookingLoad = "queue=quotes rate=30 run_ms=30 deadline_ms=2000 attempt_ms=800";
const std::string venueLoad = "queue=orders rate=10 run_ms=30 deadline_ms=2000 attempt_ms=800";
constexpr Milliseconds loadDuration { 16000 };
constexpr Milliseconds warmUpTime { 1500 };
constexpr Milliseconds timeInForce { 1000 };

/// Requires that a team whose key was withdrawn at `withdrawn` started work before that, and none after the bound.
void requireWorkStopped(const ProofSite& proof, Instant withdrawn, const std::string& team)
{
    BOOST_TEST(
        proof.startsBetween(withdrawn - Seconds(3), withdrawn, team) > 0, "no work was started before the withdrawal");
    auto bound = withdrawn + HistoryChecker::withdrawalBound;
    BOOST_TEST(proof.startsBetween(bound, bound + Seconds(60), team) == 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Keys)

BOOST_AUTO_TEST_CASE(withdrawnKeyStopsEverywhereAndOthersGoOn)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", { bookingLoad, venueLoad }, loadDuration);
    ProofSite::pause(warmUpTime);
    proof.site.document().withdrawKey("booking-1");
    proof.site.applyDocument(1);
    auto withdrawn = BootClock::now();
    proof.requireClean();
    requireWorkStopped(proof, withdrawn, "booking");
    auto bound = withdrawn + HistoryChecker::withdrawalBound;
    BOOST_TEST(proof.startsBetween(bound, bound + Seconds(60), "venue") > 0);
}

/// The daemons of the cut-off zone cannot learn of the withdrawal, so they must stop keyed work on their own.
BOOST_AUTO_TEST_CASE(withdrawnKeyStopsInACutOffZone)
{
    auto plan = SitePlan::small();
    plan.relayed = true;
    ProofSite proof(plan);
    proof.site.startCallers("inside", { bookingLoad, venueLoad }, loadDuration, {}, { 2, 3 });
    proof.site.startCallers("outside", { venueLoad }, loadDuration, {}, { 0, 1 });
    ProofSite::pause(warmUpTime);
    proof.isolateZone(2);
    proof.site.document().withdrawKey("booking-1");
    proof.site.applyDocument(0);
    auto inForce = BootClock::now();
    ProofSite::pause(timeInForce);
    proof.reconnectZones();
    proof.requireClean();
    BOOST_TEST(proof.startsBetween(inForce, inForce + Seconds(60), "booking") == 0);
    BOOST_TEST(proof.startsBetween(inForce, inForce + Seconds(60), "venue") > 0);
}

/// A daemon that is frozen before the withdrawal and resumed after it must not run requests that it holds for the key.
BOOST_AUTO_TEST_CASE(withdrawnKeyStopsInAFrozenAndWokenDaemon)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", { bookingLoad, venueLoad }, loadDuration);
    ProofSite::pause(warmUpTime);
    proof.site.daemon(2).signal(SIGSTOP);
    proof.site.document().withdrawKey("booking-1");
    proof.site.applyDocument(0);
    auto inForce = BootClock::now();
    ProofSite::pause(timeInForce);
    proof.site.daemon(2).signal(SIGCONT);
    proof.requireClean();
    BOOST_TEST(proof.startsBetween(inForce, inForce + Seconds(60), "booking") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
