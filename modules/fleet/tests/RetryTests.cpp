#include <boost/test/unit_test.hpp>
#include <fleet/tests/PlaneFixture.h>

using namespace Greengage;

namespace {

class RetryFixture : public PlaneFixture {
public:
    RetryFixture() { this->startServing(); }

    /// Submits a request and returns its first attempt.
    SendAttempt submit(const std::string& queue = "quotes")
    {
        this->requests += 1;
        return only<SendAttempt>(this->tick(this->makeRequest("r" + std::to_string(this->requests), queue, "k1")));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Retries, RetryFixture)

BOOST_AUTO_TEST_CASE(timedOutAttemptLeavesTimeForASecondEndpoint)
{
    auto first = this->submit();
    BOOST_TEST((first.answerBy.at() == this->clock.current() + Seconds(3)));
    this->clock.advance(Milliseconds(2500));
    this->tick(StoreConfirmed { this->clock.current(), 1 });
    this->clock.advance(Milliseconds(500));
    auto second = only<SendAttempt>(this->tick(ended(first, AttemptResult::Silent)));
    BOOST_TEST((second.endpoint != first.endpoint));
    BOOST_TEST(second.freshConnection);
    auto outputs = this->tick(ended(second, AttemptResult::Broken));
    auto answer = only<AnswerCaller>(outputs);
    BOOST_TEST((answer.outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(extraSendsStayWithinATenthOfFirstSends)
{
    int firstSends = 0;
    int extraSends = 0;
    for (int round = 0; round < 2000; ++round) {
        this->clock.advance(Milliseconds(100));
        this->tick(StoreConfirmed { this->clock.current(), 1 });
        auto attempt = this->submit();
        if (attempt.attempt != 1)
            continue;
        firstSends += 1;
        auto retried = pick<SendAttempt>(this->tick(ended(attempt, AttemptResult::Refused)));
        for (; !retried.empty(); retried = pick<SendAttempt>(this->tick(ended(retried[0], AttemptResult::Refused))))
            extraSends += 1;
    }
    BOOST_TEST(firstSends > 1000);
    BOOST_TEST(extraSends <= firstSends / 10 + 10);
    BOOST_TEST(extraSends >= firstSends / 20);
}

BOOST_AUTO_TEST_CASE(failingEndpointIsSetAsideAndProbedUntilItAnswers)
{
    for (int failure = 0; failure < 3; ++failure) {
        auto attempt = this->submit();
        BOOST_TEST(attempt.endpoint.string() == "e1");
        auto second = only<SendAttempt>(this->tick(ended(attempt, AttemptResult::NotSent)));
        this->tick(ended(second, AttemptResult::Answered));
    }
    BOOST_TEST(this->submit().endpoint.string() == "e2");
    this->clock.advance(Milliseconds(1000));
    auto probe = this->submit();
    BOOST_TEST(probe.endpoint.string() == "e1");
    BOOST_TEST(this->submit().endpoint.string() == "e2");
    this->tick(ended(probe, AttemptResult::Answered));
    BOOST_TEST(this->submit().endpoint.string() == "e1");
}

BOOST_AUTO_TEST_CASE(endpointWithFewestFailuresIsTriedWhenAllAreSetAside)
{
    for (int failure = 0; failure < 3; ++failure) {
        auto first = this->submit();
        auto second = only<SendAttempt>(this->tick(ended(first, AttemptResult::NotSent)));
        this->tick(ended(second, AttemptResult::NotSent));
    }
    BOOST_TEST(this->submit().attempt == 1);
}

BOOST_AUTO_TEST_CASE(longRunIsNotMistakenForAnUnresponsiveEndpoint)
{
    auto longRun = this->submit("orders");
    for (int count = 0; count < 4; ++count)
        this->tick(ended(this->submit(), AttemptResult::Answered));
    this->tick(ended(longRun, AttemptResult::Silent));
    auto endpoint = this->submit();
    BOOST_TEST(!endpoint.freshConnection);
}

BOOST_AUTO_TEST_SUITE_END()
