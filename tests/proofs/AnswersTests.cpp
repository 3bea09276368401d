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

/// Requires a clean history, and that every attempt got an outcome, since no daemon fails in these proofs.
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
    BOOST_TEST(verdict.unknown > 0, "no truncated answer has met a request that may not be repeated");
}

/// Answers that come after the daemon has given up must not reach the next request on the connection.
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
    BOOST_TEST(proof.site.sumOverEndpoints("deaths") > 0, "no endpoint has died");
    BOOST_TEST(proof.unansweredOn("quotes") == 0);
}

/// Every open connection between daemons and endpoints goes silent for good; new ones work.
BOOST_AUTO_TEST_CASE(silentConnectionsAreLeftWithinTheBound)
{
    constexpr Milliseconds silenceBound { 3000 };
    auto plan = SitePlan::small();
    plan.relayed = true;
    ProofSite proof(plan);
    proof.site.startCallers("callers", loads, Milliseconds(9000));
    ProofSite::pause(Milliseconds(2000));
    Json::Value settings;
    settings["silence"]["source"] = "127.1.";
    settings["silence"]["destination"] = "127.2.";
    proof.site.controlRelay(settings);
    auto silenced = BootClock::now();
    requireOutcomes(proof);
    auto later = silenced + silenceBound;
    BOOST_TEST(proof.startsBetween(later, later + Milliseconds(2000), "booking") > 0);
    BOOST_TEST(proof.startsBetween(later, later + Milliseconds(2000), "venue") > 0);
    // Work that may be repeated goes elsewhere within its deadline.
    BOOST_TEST(proof.unansweredOn("quotes") == 0);
}

/// Endpoints that freeze and wake run what they took; nothing is doubled, and callers are told "unknown".
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
