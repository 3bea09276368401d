#include <boost/test/unit_test.hpp>
#include <fleet/tests/PlaneFixture.h>

using namespace Greengage;

BOOST_FIXTURE_TEST_SUITE(RequestPath, PlaneFixture)

BOOST_AUTO_TEST_CASE(requestIsSentToAnEndpointInTheSameZoneAndItsAnswerReturned)
{
    this->startServing();
    auto attempt = only<SendAttempt>(this->tick(this->makeRequest("r1", "quotes", "k1")));
    BOOST_TEST(attempt.endpoint.string() == "e1");
    BOOST_TEST(attempt.team.string() == "booking");
    auto answer = only<AnswerCaller>(this->tick(ended(attempt, AttemptResult::Answered)));
    BOOST_TEST((answer.outcome == Outcome::Answered));
    BOOST_TEST(answer.attempt == 1);
}

BOOST_AUTO_TEST_CASE(refusalsReportTheirReason)
{
    auto reasonOf = [&](const RequestArrived& arrived) {
        return std::string(nameOf(only<AnswerCaller>(this->tick(arrived)).reason));
    };
    BOOST_TEST(reasonOf(this->makeRequest("r1", "quotes", "k1")) == "no_document");
    this->startServing();
    BOOST_TEST(reasonOf(this->makeRequest("r2", "nowhere", "k1")) == "unknown_queue");
    BOOST_TEST(reasonOf(this->makeRequest("r3", "quotes", "")) == "key_missing");
    BOOST_TEST(reasonOf(this->makeRequest("r4", "quotes", "k9")) == "key_invalid");
    auto wrong = this->makeRequest("r5", "quotes", "k1");
    wrong.bearer = "k1.secret-k2";
    BOOST_TEST(reasonOf(wrong) == "key_invalid");
    auto longDeadline = this->makeRequest("r6", "quotes", "k1");
    longDeadline.deadline = Deadline::after(this->clock.current(), Seconds(31));
    BOOST_TEST(reasonOf(longDeadline) == "deadline_too_long");
}

BOOST_AUTO_TEST_CASE(openQueueNeedsNoKey)
{
    this->startServing();
    auto attempt = only<SendAttempt>(this->tick(this->makeRequest("r1", "open", "")));
    BOOST_TEST(attempt.attempt == 1);
    BOOST_TEST(attempt.team.isEmpty());
}

BOOST_AUTO_TEST_CASE(limitHoldsAndExpiredRequestsReportNotRun)
{
    this->startServing();
    std::vector<SendAttempt> sent;
    for (int index = 0; index < 12; ++index) {
        auto outputs = this->tick(this->makeRequest("r" + std::to_string(index), "quotes", "k1"));
        for (const auto& attempt : pick<SendAttempt>(outputs))
            sent.push_back(attempt);
    }
    BOOST_TEST(sent.size() == 10);
    auto next = only<SendAttempt>(this->tick(ended(sent[0], AttemptResult::Answered)));
    BOOST_TEST(next.request.string() == "r10");
    this->clock.advance(Seconds(5));
    auto expired = only<AnswerCaller>(this->tick(StoreConfirmed { this->clock.current(), 1 }));
    BOOST_TEST(expired.request.string() == "r11");
    BOOST_TEST((expired.outcome == Outcome::NotRun));
    BOOST_TEST((expired.reason == OutcomeReason::LimitReached));
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsNeverSentTwice)
{
    this->startServing();
    auto attempt = only<SendAttempt>(this->tick(this->makeRequest("r1", "orders", "k1")));
    BOOST_TEST(attempt.freshConnection);
    auto outputs = this->tick(ended(attempt, AttemptResult::Broken));
    BOOST_TEST(pick<SendAttempt>(outputs).empty());
    BOOST_TEST((only<AnswerCaller>(outputs).outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(unsentRequestIsRetriedAtAnotherEndpoint)
{
    this->startServing();
    auto first = only<SendAttempt>(this->tick(this->makeRequest("r1", "orders", "k1")));
    auto second = only<SendAttempt>(this->tick(ended(first, AttemptResult::Refused)));
    BOOST_TEST(second.endpoint.string() == "e2");
    auto answer = only<AnswerCaller>(this->tick(ended(second, AttemptResult::NotSent)));
    BOOST_TEST((answer.outcome == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(unknownWorkKeepsItsUnitUntilTheEndpointReportsItEnded)
{
    this->startServing();
    auto attempt = only<SendAttempt>(this->tick(this->makeRequest("r1", "orders", "k1")));
    this->tick(ended(attempt, AttemptResult::Silent));
    BOOST_TEST(this->plane.describe(this->clock.current()).demand.front().running == 1);
    this->clock.advance(Seconds(2));
    RunningWork still { RequestId("r1"), TeamId("booking"), IncarnationId("i1") };
    this->tick(RunningReported { attempt.endpoint, this->clock.current(), { still } });
    BOOST_TEST(this->plane.describe(this->clock.current()).demand.front().running == 1);
    this->tick(RunningReported { attempt.endpoint, this->clock.current(), {} });
    BOOST_TEST(this->plane.describe(this->clock.current()).demand.empty());
}

BOOST_AUTO_TEST_CASE(removedEndpointGetsNoRequestsAndMayReturnWhileItsWorkRuns)
{
    this->startServing();
    auto attempt = only<SendAttempt>(this->tick(this->makeRequest("r1", "quotes", "k1")));
    this->tick(EndpointsListed {});
    BOOST_TEST(pick<SendAttempt>(this->tick(this->makeRequest("r2", "quotes", "k1"))).empty());
    auto draining = makeEndpoints();
    draining.draining.insert(VmId("e1"));
    draining.ledgerRevision = 7;
    BOOST_TEST(only<SendAttempt>(this->tick(draining)).endpoint.string() == "e2");
    auto state = this->plane.describe(this->clock.current());
    BOOST_TEST(state.appliedLedgerRevision == 7);
    BOOST_TEST((state.busyDrainingVms == std::vector { VmId("e1") }));
    BOOST_TEST(this->plane.runningAt(VmId("e1")) == 1);
    BOOST_TEST(this->plane.runningAt(VmId("e2")) == 1);
    BOOST_TEST(this->plane.runningAt(VmId("none")) == 0);
    BOOST_TEST(this->plane.servesKeyedWork(this->clock.current()));
    BOOST_TEST(!this->plane.servesKeyedWork(this->clock.current() + Seconds(10)));
    auto answer = only<AnswerCaller>(this->tick(ended(attempt, AttemptResult::Answered)));
    BOOST_TEST((answer.outcome == Outcome::Answered));
    BOOST_TEST(this->plane.describe(this->clock.current()).busyDrainingVms.empty());
}

BOOST_AUTO_TEST_CASE(shutdownFinishesAcceptedRequestsAndRefusesNewOnes)
{
    this->startServing();
    auto attempt = only<SendAttempt>(this->tick(this->makeRequest("r1", "quotes", "k1")));
    this->tick(ShutdownRequested {});
    BOOST_TEST(!this->plane.isIdle());
    auto refused = only<AnswerCaller>(this->tick(this->makeRequest("r2", "quotes", "k1")));
    BOOST_TEST((refused.reason == OutcomeReason::ShuttingDown));
    auto answer = only<AnswerCaller>(this->tick(ended(attempt, AttemptResult::Answered)));
    BOOST_TEST((answer.outcome == Outcome::Answered));
    auto handedBack = only<UpdateAllotments>(this->wait(Milliseconds(50)));
    BOOST_TEST(handedBack.value == R"({"teams":{}})");
    BOOST_TEST(this->plane.isIdle());
}

BOOST_AUTO_TEST_SUITE_END()
