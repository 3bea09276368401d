#include "JobTablesFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

struct AdviceFixture : JobTablesFixture {
    AdviceFixture()
    {
        this->addQueue("advised", "north", 0);
        this->policies->queues[QueueId("advised")].advice
            = AdvicePolicy { Milliseconds(20), Milliseconds(2), Milliseconds(3000) };
    }

    std::optional<AdviceRequest> request() { return this->system.nextRequest(this->now, this->unixMs); }

    void answer(const AdviceRequest& request, std::map<WorkerId, std::string> tickets)
    {
        this->system.handleAnswer(request, { std::move(tickets), Milliseconds(3000) }, this->now);
    }

    AdviceSystem system { this->tables };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Advice, AdviceFixture)

BOOST_AUTO_TEST_CASE(aTaskOfAnAdvisedQueueStartsOnlyWithAValidTicket)
{
    this->addWorker("w1");
    this->addWorker("w2");
    this->addJob("j", { step(1, 1000) }, "advised");
    BOOST_TEST(this->place().empty());
    auto asked = this->request();
    BOOST_REQUIRE(asked.has_value());
    BOOST_TEST(asked->workers.size() == 2U);
    BOOST_TEST((asked->expectedDuration == Milliseconds(24)));
    this->answer(*asked, { { WorkerId("w2"), "t" } });
    // A ticket for another incarnation of the worker is not used.
    this->tables.workers.at(WorkerId("w2")).info.incarnationUnixMs = 7;
    BOOST_TEST(this->place().empty());
    this->tables.workers.at(WorkerId("w2")).info.incarnationUnixMs = 0;
    auto orders = this->place();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders.front().worker == WorkerId("w2")));
    BOOST_TEST(this->tables.workers.at(WorkerId("w2")).attempts.at(orders.front().task).ticket == "t");
}

BOOST_AUTO_TEST_CASE(theServiceIsAskedAgainAfterATicketExpiresOrIsRefused)
{
    this->addWorker("w1", "north", 1000);
    this->addJob("j", { step(1, 1000) }, "advised");
    auto asked = this->request();
    BOOST_REQUIRE(asked.has_value());
    BOOST_TEST(!this->request().has_value());
    this->answer(*asked, { { WorkerId("w1"), "t" } });
    this->advance(Milliseconds(2800));
    BOOST_TEST(this->place().empty());
    asked = this->request();
    BOOST_REQUIRE(asked.has_value());
    this->answer(*asked, { { WorkerId("w1"), "t2" } });
    this->tables.dropTicket(task("j", 0, 0), WorkerId("w1"));
    BOOST_TEST(this->place().empty());
    BOOST_TEST(this->request().has_value());
}

BOOST_AUTO_TEST_CASE(theServiceIsNotAskedAgainAboutUnfitWorkers)
{
    this->addWorker("w1");
    this->addJob("j", { step(1, 1000) }, "advised");
    this->answer(*this->request(), {});
    BOOST_TEST(!this->request().has_value());
    this->addWorker("w2");
    auto asked = this->request();
    BOOST_REQUIRE(asked.has_value());
    BOOST_TEST((asked->workers == std::vector<WorkerId> { WorkerId("w2") }));
    this->system.handleFailure(*asked, this->now);
    BOOST_TEST(!this->request().has_value());
    this->advance(AdviceSystem::retryDelay);
    BOOST_TEST(this->request().has_value());
}

/// Jobs arrive faster than the service answers.
BOOST_AUTO_TEST_CASE(theServiceIsAskedForTheMostUrgentJobFirst)
{
    this->addWorker("w1");
    this->addJob("late", { step(1, 1000, Milliseconds(100)) }, "advised");
    this->advance(Seconds(20));
    this->addJob("relaxed", { step(1, 1000, Milliseconds(5000)) }, "advised");
    this->addJob("urgent", { step(1, 1000, Milliseconds(100)) }, "advised");
    std::vector<JobId> order;
    while (auto asked = this->request())
        order.push_back(asked->step.job);
    BOOST_TEST((order == std::vector<JobId> { JobId("urgent"), JobId("relaxed"), JobId("late") }));
}

BOOST_AUTO_TEST_SUITE_END()
