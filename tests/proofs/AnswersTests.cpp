#include <csignal>
#include <tests/proofs/ProofSite.h>

using namespace Greengage;

namespace {

constexpr Milliseconds loadDuration { 6000 };
const std::vector<std::string> loads { "queue=orders rate=30 run_ms=60 deadline_ms=4000",
    "queue=quotes rate=60 run_ms=40 deadline_ms=4000 answer_bytes=20000" };

Json::Value endpointFault(const std::string& vm, const std::string& name, const Json::Value& value)
{
    Json::Value settings;
    settings["vm"] = vm;
    settings[name] = value;
    return settings;
}

/// Requires a history without violations, and an outcome for every attempt, since no daemon fails in these proofs.
HistoryVerdict requireOutcomes(ProofSite& proof)
{
    auto verdict = proof.requireClean();
    BOOST_TEST(verdict.brokenAttempts == 0);
    return verdict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Answers)

BOOST_AUTO_TEST_CASE(truncatedAnswersAreNotPassedOn)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", loads, loadDuration);
    for (int round = 0; round < 20; ++round) {
        ProofSite::pause(Milliseconds(200));
        proof.site.controlEndpoints(endpointFault("*", "truncateAnswers", 2));
    }
    proof.site.controlEndpoints(endpointFault("*", "truncateAnswers", 0));
    auto verdict = requireOutcomes(proof);
    BOOST_TEST(verdict.unknown > 0, "no truncated answer hit a request that may not be repeated");
}

/// An answer that arrives after the daemon has given up on its request must not reach the next request on the same
/// connection.
BOOST_AUTO_TEST_CASE(lateAnswersReachNobodyElse)
{
    ProofSite proof(SitePlan::small());
    std::vector<std::string> shortDeadlines { "queue=orders rate=30 run_ms=60 deadline_ms=600",
        "queue=quotes rate=60 run_ms=40 deadline_ms=600" };
    proof.site.startCallers("callers", shortDeadlines, loadDuration);
    for (int round = 0; round < 6; ++round) {
        ProofSite::pause(Milliseconds(700));
        proof.site.controlEndpoints(endpointFault("*", "answerDelayMs", round % 2 == 0 ? 900 : 0));
    }
    proof.site.controlEndpoints(endpointFault("*", "answerDelayMs", 0));
    auto verdict = requireOutcomes(proof);
    BOOST_TEST(verdict.unknown > 0, "no answer was late");
}

BOOST_AUTO_TEST_CASE(endpointsThatDieMidAnswerCutNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", loads, loadDuration);
    for (int round = 1; round <= 4; ++round) {
        auto vm = "pricing-" + std::to_string(round);
        proof.site.controlEndpoints(endpointFault(vm, "dieInNextAnswer", true));
        ProofSite::pause(Milliseconds(800));
        proof.site.controlEndpoints(endpointFault(vm, "revive", true));
    }
    requireOutcomes(proof);
    BOOST_TEST(proof.site.sumOverEndpoints("deaths") > 0, "no endpoint was terminated while answering");
    BOOST_TEST(proof.unansweredOn("quotes") == 0);
}

/// All open connections between daemons and endpoints stop carrying data for good, while new connections work.
BOOST_AUTO_TEST_CASE(silentConnectionsAreLeftWithinTheBound)
{
    constexpr Milliseconds unresponsiveBound { 3000 };
    auto plan = SitePlan::small();
    plan.relayed = true;
    ProofSite proof(plan);
    proof.site.startCallers("callers", loads, Milliseconds(9000));
    ProofSite::pause(Milliseconds(2000));
    Json::Value settings;
    settings["silence"]["source"] = "127.1.";
    settings["silence"]["destination"] = "127.2.";
    proof.site.controlRelay(settings);
    auto unresponsiveSince = BootClock::now();
    requireOutcomes(proof);
    auto later = unresponsiveSince + unresponsiveBound;
    BOOST_TEST(proof.startsBetween(later, later + Milliseconds(2000), "booking") > 0);
    BOOST_TEST(proof.startsBetween(later, later + Milliseconds(2000), "venue") > 0);
    // Repeatable work is sent to another endpoint within its deadline.
    BOOST_TEST(proof.unansweredOn("quotes") == 0);
}

/// Endpoints that are frozen and resumed run the work they had received. No work may run twice, and callers get the
/// outcome "unknown" for work of which the daemon cannot know whether it ran.
BOOST_AUTO_TEST_CASE(frozenEndpointsDoubleNothing)
{
    ProofSite proof(SitePlan::small());
    proof.site.startCallers("callers", loads, Milliseconds(9000));
    ProofSite::pause(Milliseconds(1000));
    proof.site.controlEndpoints(endpointFault("ordering-1", "frozen", true));
    proof.site.controlEndpoints(endpointFault("pricing-1", "frozen", true));
    ProofSite::pause(Milliseconds(5000));
    proof.site.controlEndpoints(endpointFault("*", "frozen", false));
    requireOutcomes(proof);
}

BOOST_AUTO_TEST_SUITE_END()
