#include <csignal>
#include <tests/proofs/ProofSite.h>

using namespace Greengage;

namespace {

constexpr Milliseconds loadDuration { 9000 };
constexpr Milliseconds failureInterval { 1200 };
/// Longer than every lease and every serving permission of a daemon.
constexpr Milliseconds longFreeze { 12000 };
/// Longer than the deadlines of the requests, shorter than their callers wait for an outcome.
constexpr Milliseconds commonFreeze { 5000 };
const std::vector<std::string> loads { "queue=orders rate=40 run_ms=150 deadline_ms=4000",
    "queue=quotes rate=20 run_ms=50 deadline_ms=4000" };
/// Callers that retry at another daemon, with the same idempotency key, long before the deadline of their request.
const std::vector<std::string> earlyRetryLoads { loads[0] + " attempt_ms=1000", loads[1] + " attempt_ms=1000" };

Json::Value outage(const std::string& kind)
{
    Json::Value settings;
    settings["outage"] = kind;
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnce)

/// Kills and restarts one daemon after another while they accept, forward and answer requests.
BOOST_AUTO_TEST_CASE(daemonsKilledUnderLoadDoubleNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", loads, loadDuration);
    for (std::size_t index = 0; index < 4; ++index) {
        ProofSite::pause(failureInterval);
        proof.site.daemon(index).signal(SIGKILL);
        BOOST_REQUIRE(proof.site.daemon(index).wait(Site::waitLimit).has_value());
        proof.site.startDaemon(index);
    }
    auto verdict = proof.requireClean();
    BOOST_TEST(verdict.brokenAttempts > 0, "no daemon was killed while it handled a request");
}

/// The store carries out writes but drops some of its answers.
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
    ProofSite::pause(failureInterval);
    Json::Value settings;
    settings["delayMs"] = 1500;
    proof.site.controlStore(settings);
    ProofSite::pause(Milliseconds(5000));
    settings["delayMs"] = 0;
    proof.site.controlStore(settings);
    proof.requireClean();
}

/// While the store is unavailable to all daemons but the daemons reach each other, repeatable keyed work continues.
BOOST_AUTO_TEST_CASE(storeOutageDoublesNothingAndIdempotentWorkGoesOn)
{
    for (const char* kind : { "silent", "refuse" }) {
        ProofSite proof(SitePlan::small());
        proof.site.startCallers("callers", loads, Milliseconds(16000));
        ProofSite::pause(failureInterval);
        proof.site.controlStore(outage(kind));
        auto begin = BootClock::now();
        ProofSite::pause(Milliseconds(12000));
        auto end = BootClock::now();
        proof.site.controlStore(outage("none"));
        proof.requireClean();
        // In the second half of the outage every freshness bound has expired.
        auto half = begin + (end - begin) / 2;
        BOOST_TEST(proof.startsBetween(half, end, "booking") > 0, kind);
    }
}

/// Freezes a daemon until its serving permissions have expired, while its callers retry elsewhere, and resumes it.
BOOST_AUTO_TEST_CASE(frozenAndWokenDaemonDoublesNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", earlyRetryLoads, longFreeze + Milliseconds(6000));
    ProofSite::pause(failureInterval);
    proof.site.daemon(0).signal(SIGSTOP);
    ProofSite::pause(longFreeze);
    proof.site.daemon(0).signal(SIGCONT);
    auto verdict = proof.requireClean();
    BOOST_TEST(verdict.brokenAttempts > 0, "no request was pending in the frozen daemon");
}

/// Freezes each daemon in turn for about as long as a serving permission lasts, so that it resumes close to its
/// deadlines.
BOOST_AUTO_TEST_CASE(shortFreezesDoubleNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", earlyRetryLoads, Milliseconds(16000));
    for (std::size_t index = 0; index < 4; ++index) {
        proof.site.daemon(index).signal(SIGSTOP);
        ProofSite::pause(Milliseconds(1500 + 1000 * static_cast<int>(index)));
        proof.site.daemon(index).signal(SIGCONT);
    }
    proof.requireClean();
}

/// Every daemon stands still past the deadlines of the requests that it holds, and answers them when it resumes.
BOOST_AUTO_TEST_CASE(daemonsFrozenAtOnceLoseNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", earlyRetryLoads, loadDuration);
    ProofSite::pause(failureInterval);
    for (int signal : { SIGSTOP, SIGCONT }) {
        for (std::size_t index = 0; index < 4; ++index)
            proof.site.daemon(index).signal(signal);
        ProofSite::pause(commonFreeze);
    }
    proof.requireClean();
}

BOOST_AUTO_TEST_SUITE_END()
