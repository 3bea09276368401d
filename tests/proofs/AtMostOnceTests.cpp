#include <csignal>
#include <tests/proofs/ProofSite.h>

using namespace Greengage;

namespace {

constexpr Milliseconds loadDuration { 9000 };
constexpr Milliseconds betweenFailures { 1200 };
/// Longer than every lease and permission of a daemon.
constexpr Milliseconds longFreeze { 12000 };
const std::vector<std::string> loads { "queue=orders rate=40 run_ms=150 deadline_ms=4000",
    "queue=quotes rate=20 run_ms=50 deadline_ms=4000" };
/// Callers that turn to another daemon, under the same idempotency key, long before the deadline that they gave.
const std::vector<std::string> impatientLoads { loads[0] + " attempt_ms=1000", loads[1] + " attempt_ms=1000" };

Json::Value outage(const std::string& kind)
{
    Json::Value settings;
    settings["outage"] = kind;
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnce)

/// Kills one daemon after another while it takes, forwards and answers requests, and starts each anew.
BOOST_AUTO_TEST_CASE(daemonsKilledUnderLoadDoubleNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", loads, loadDuration);
    for (std::size_t index = 0; index < 4; ++index) {
        ProofSite::pause(betweenFailures);
        proof.site.daemon(index).signal(SIGKILL);
        BOOST_REQUIRE(proof.site.daemon(index).wait(Site::waitLimit).has_value());
        proof.site.startDaemon(index);
    }
    auto verdict = proof.requireClean();
    BOOST_TEST(verdict.brokenAttempts > 0, "no kill has hit a request");
}

BOOST_AUTO_TEST_CASE(lostStoreAnswersDoubleNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", loads, loadDuration);
    for (int round = 0; round < 30; ++round) {
        ProofSite::pause(Milliseconds(200));
        Json::Value settings;
        settings["loseWriteAnswers"] = 3;
        proof.site.controlStore(settings);
    }
    Json::Value settings;
    settings["loseWriteAnswers"] = 0;
    proof.site.controlStore(settings);
    proof.requireClean();
}

BOOST_AUTO_TEST_CASE(slowStoreDoublesNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", loads, loadDuration);
    ProofSite::pause(betweenFailures);
    Json::Value settings;
    settings["delayMs"] = 1500;
    proof.site.controlStore(settings);
    ProofSite::pause(Milliseconds(5000));
    settings["delayMs"] = 0;
    proof.site.controlStore(settings);
    proof.requireClean();
}

/// With the store out for everyone and the daemons in contact, keyed work that may be repeated goes on.
BOOST_AUTO_TEST_CASE(storeOutageDoublesNothingAndIdempotentWorkGoesOn)
{
    for (const char* kind : { "silent", "refuse" }) {
        ProofSite proof(SitePlan::small());
        proof.site.startCallers("callers", loads, Milliseconds(16000));
        ProofSite::pause(betweenFailures);
        proof.site.controlStore(outage(kind));
        auto begin = BootClock::now();
        ProofSite::pause(Milliseconds(12000));
        auto end = BootClock::now();
        proof.site.controlStore(outage("none"));
        proof.requireClean();
        // The second half of the outage lies beyond every bound of freshness.
        auto half = begin + (end - begin) / 2;
        BOOST_TEST(proof.startsBetween(half, end, "booking") > 0, kind);
    }
}

/// Freezes a daemon past its permissions while its callers retry elsewhere, and wakes it.
BOOST_AUTO_TEST_CASE(frozenAndWokenDaemonDoublesNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", impatientLoads, longFreeze + Milliseconds(6000));
    ProofSite::pause(betweenFailures);
    proof.site.daemon(0).signal(SIGSTOP);
    ProofSite::pause(longFreeze);
    proof.site.daemon(0).signal(SIGCONT);
    auto verdict = proof.requireClean();
    BOOST_TEST(verdict.brokenAttempts > 0, "no request was caught in the frozen daemon");
}

/// Freezes each daemon in turn for about the length of a permission, so that it wakes near its deadlines.
BOOST_AUTO_TEST_CASE(shortFreezesDoubleNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", impatientLoads, Milliseconds(16000));
    for (std::size_t index = 0; index < 4; ++index) {
        proof.site.daemon(index).signal(SIGSTOP);
        ProofSite::pause(Milliseconds(1500 + 1000 * static_cast<int>(index)));
        proof.site.daemon(index).signal(SIGCONT);
    }
    proof.requireClean();
}

BOOST_AUTO_TEST_SUITE_END()
