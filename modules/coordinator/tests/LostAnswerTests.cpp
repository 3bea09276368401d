#include <coordinator/tests/CoordinatorFixture.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

BOOST_FIXTURE_TEST_SUITE(LostAnswers, CoordinatorFixture)

BOOST_AUTO_TEST_CASE(aSubmissionWhoseAnswerWasLostIsFoundStored)
{
    this->first->store.loseCommits = 1;
    BOOST_TEST((this->submit(*this->first, this->job("j", 1)) == JobRequestOutcome::Stored));
    BOOST_TEST(this->tables.commits == 1U);
}

BOOST_AUTO_TEST_CASE(lostAnswersOfTheStoreLoseNoProgress)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    for (int index = 0; index < 5; ++index) {
        this->submit(*this->first, this->job("j" + std::to_string(index), 2));
        this->first->store.loseCommits = 2;
    }
    for (int index = 0; index < 5; ++index)
        BOOST_TEST(this->runUntil([this, index] { return this->isCompleted("j" + std::to_string(index)); }));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 10U);
}

/// Load: jobs arrive while the store carries writes out without answering. The write of one job, which has been carried
/// out, holds up neither this job, which the watch shows as stored, nor the others.
BOOST_AUTO_TEST_CASE(aLostAnswerDelaysNoStart)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->second = this->makeDaemon("second", "1");
    this->submit(*this->second, this->job("warm", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warm"); }));
    this->runFor(Milliseconds(500));
    std::size_t startsBefore = this->workers.starts;
    this->workers.taskLength = Milliseconds(5000);
    this->first->store.lostAnswerTimeout = Milliseconds(4000);
    this->first->store.loseCommits = 3;
    for (std::size_t index = 0; index < 6; ++index) {
        this->submit(*this->second, this->job("j" + std::to_string(index), 1));
        BOOST_TEST(this->runUntil([&] { return this->workers.starts == startsBefore + index + 1; }, Milliseconds(400)));
    }
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Load: the store resets each connection at once. Progress is tried again, but not in a loop without pause.
BOOST_AUTO_TEST_CASE(aStoreThatResetsConnectionsIsNotFlooded)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->second = this->makeDaemon("second", "1");
    this->submit(*this->second, this->job("warm", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warm"); }));
    this->first->store.isResetting = true;
    constexpr std::size_t jobs = 30;
    for (std::size_t index = 0; index < jobs; ++index)
        this->submit(*this->second, this->job("j" + std::to_string(index), 1));
    std::size_t callsBefore = this->first->store.commitCalls;
    this->runFor(Milliseconds(500));
    // A commit holds six jobs, and progress is stored every 40 ms. Heartbeats and the like come on top.
    BOOST_TEST(this->first->store.commitCalls - callsBefore <= (jobs / 6 + 1) * (500 / 40 + 1) + 20);
    this->first->store.isResetting = false;
    for (std::size_t index = 0; index < jobs; ++index)
        BOOST_TEST(this->runUntil([&] { return this->isCompleted("j" + std::to_string(index)); }));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Guards against a worker that forgets an end whose effect is not stored: the next leader would start the task again.
BOOST_AUTO_TEST_CASE(anEndIsAcknowledgedOnlyOnceItsEffectIsStored)
{
    this->workers.taskLength = Milliseconds(200);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->second = this->makeDaemon("second", "1");
    this->submit(*this->second, this->job("j", 2));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    this->first->store.isRefusing = true;
    this->runFor(Milliseconds(700));
    BOOST_TEST(this->workers.done.size() == 2U);
    BOOST_TEST(this->workers.storedAsDone.empty());
    this->first->store.isRefusing = false;
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->runUntil([this] { return this->workers.storedAsDone.size() == 2U; }));
    BOOST_TEST(this->workers.starts == 2U);
}

/// Guards against a job that waits four seconds for each lost start order. Under load, orders to workers may be lost or
/// delayed for seconds.
BOOST_AUTO_TEST_CASE(aLostStartIsOrderedAgainWithinASecondOrSo)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("warm", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warm"); }));
    this->first->link.loseStarts = 2;
    this->submit(*this->first, this->job("j", 2));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }, Milliseconds(2000)));
    BOOST_TEST(this->workers.startedTwice.empty());
}

/// Load: workers leave a part of the start orders unanswered. A task whose order is lost is ordered again at once, and
/// waits neither until the order has expired nor for a report.
BOOST_AUTO_TEST_CASE(tasksWhoseStartOrdersAreLostStartWithinAFewHundredMilliseconds)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("warm", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warm"); }));
    this->first->link.lostStartTimeout = Milliseconds(400);
    this->first->link.loseStarts = 3;
    this->submit(*this->first, this->job("j", 6));
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 7U; }, Milliseconds(350)));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 7U);
}

/// The answer to a start is lost, and the task may have ended before the order is repeated: it is not run again.
BOOST_AUTO_TEST_CASE(aTaskWhoseStartWasCarriedOutWithoutAnAnswerRunsOnce)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    for (int lengthMs : { 20, 110, 130, 300 }) {
        this->workers.taskLength = Milliseconds(lengthMs);
        this->first->link.lostStartTimeout = Milliseconds(400);
        this->first->link.loseStartAnswers = 5;
        std::string id = "j" + std::to_string(lengthMs);
        this->submit(*this->first, this->job(id, 4));
        BOOST_TEST(this->runUntil([&] { return this->isCompleted(id); }));
    }
    BOOST_TEST(this->workers.startedTwice.empty());
    BOOST_TEST(this->workers.starts == 16U);
    for (const auto& [task, times] : this->workers.done)
        BOOST_TEST(times == 1);
}

/// Guards against a leader that ends: it repeated the start order of a member of a gang whose job had ended and was
/// removed.
BOOST_AUTO_TEST_CASE(aGangEndsWhileAStartOrderOfAMemberIsUnanswered)
{
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("warm", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->isCompleted("warm"); }));
    this->workers.taskLength = Milliseconds(20);
    this->first->link.lostStartTimeout = Milliseconds(400);
    this->first->link.loseStarts = 1;
    JobRecord record = this->job("j", 2);
    record.spec.steps.front().gang = true;
    record.spec.steps.front().perWorkerLimit = 1;
    this->submit(*this->first, record);
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }));
    std::size_t startsBefore = this->workers.starts;
    this->runFor(Milliseconds(800));
    BOOST_TEST(this->workers.starts == startsBefore);
    this->submit(*this->first, this->job("k", 2));
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("k"); }));
}

/// Guards against a lease that expires because several renewals in a row are lost.
BOOST_AUTO_TEST_CASE(threeLostRenewalsInARowExpireNoLease)
{
    this->workers.taskLength = Milliseconds(7000);
    this->first->coordinator.start();
    BOOST_REQUIRE(this->runUntil([this] { return this->first->coordinator.isLeader(); }));
    this->submit(*this->first, this->job("j", 2));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 2U; }));
    this->runFor(Milliseconds(1500));
    this->first->link.loseRenewals = 6;
    BOOST_TEST(this->runUntil([this] { return this->isCompleted("j"); }, Milliseconds(12'000)));
    BOOST_TEST(this->workers.lapses == 0U);
    BOOST_TEST(this->workers.starts == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
