#include <csignal>
#include <tests/proofs/ProofSite.h>

using namespace Greengage;

namespace {

const std::vector<std::string> loads { "queue=quotes rate=60 run_ms=30 deadline_ms=3000",
    "queue=orders rate=20 run_ms=60 deadline_ms=3000" };

} // namespace

BOOST_AUTO_TEST_SUITE(Leaving)

/// The leaving endpoint still accepts work, so only the daemons can keep new work away from it.
BOOST_AUTO_TEST_CASE(leavingEndpointGetsNoNewWork)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", loads, Milliseconds(9000));
    ProofSite::pause(Milliseconds(2000));
    proof.site.setVmState("pricing-2", "leaving");
    proof.site.setVmState("ordering-3", "leaving");
    auto left = BootClock::now();
    proof.requireClean();
    BOOST_TEST(
        proof.startsBetween(left - Seconds(2), left, "", "pricing-2") > 0, "pricing-2 had no work before it left");
    BOOST_TEST(proof.startsBetween(left + Seconds(3), left + Seconds(60), "", "pricing-2") == 0);
    BOOST_TEST(proof.startsBetween(left + Seconds(3), left + Seconds(60), "", "pricing-1") > 0);
}

/// Restarts all seven daemons one after another by graceful shutdown while callers keep submitting.
BOOST_AUTO_TEST_CASE(rollingReplacementLosesNothing)
{
    ProofSite proof(SitePlan::workshop());
    std::vector<std::string> all;
    for (const char* queue : { "quotes", "reservations", "layouts", "previews", "orders" })
        all.push_back(std::string("queue=") + queue + " rate=20 run_ms=150 deadline_ms=5000");
    auto& callers = proof.site.startCallers("callers", all, Milliseconds(15000));
    for (std::size_t index = 0; index < proof.site.layout().daemons().size(); ++index) {
        proof.site.daemon(index).signal(SIGTERM);
        BOOST_TEST((proof.site.daemon(index).wait(Site::waitLimit) == 0), "daemon " << index);
        proof.site.startDaemon(index);
        auto serves = [&] { return proof.site.answersHealth(index); };
        BOOST_TEST(proof.site.http().waitUntil(serves, Site::waitLimit), "daemon " << index);
    }
    BOOST_TEST(!callers.exitStatus().has_value(), "callers ended before the last daemon was replaced");
    auto verdict = proof.requireClean();
    BOOST_TEST(verdict.unknown == 0);
    BOOST_TEST(verdict.brokenAttempts == 0);
}

BOOST_AUTO_TEST_SUITE_END()
