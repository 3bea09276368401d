#include <coordinator/leadership/Leadership.h>
#include <coordinator/tests/LoopFixture.h>
#include <coordinator/tests/MemoryStore.h>

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace Greengage;

namespace {

constexpr std::int64_t small = 120;
constexpr std::int64_t large = 500;

/// A daemon that takes part in the election.
struct Candidate {
    Candidate(event_base& base, MemoryTables& tables, const char* name, std::int64_t cpuMillis)
        : store(base, tables)
        , leadership(base, this->store, DaemonId(name), IncarnationId(std::string(name) + "-1"), cpuMillis,
              { [this](const Term& term) { this->token = term.fencingToken; }, [] {}, [] { return std::string("{}"); },
                  [](const std::string&) {} })
    {
        this->leadership.start();
    }

    bool isLeader() const { return this->leadership.isLeader(); }

    std::int64_t token = 0;
    MemoryStore store;
    Leadership<MemoryStore> leadership;
};

struct LeadershipFixture : LoopFixture {
    std::unique_ptr<Candidate> start(const char* name, std::int64_t cpuMillis)
    {
        return std::make_unique<Candidate>(*this->base, this->tables, name, cpuMillis);
    }

    MemoryTables tables;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Leading, LeadershipFixture)

BOOST_AUTO_TEST_CASE(ofDaemonsThatStartTogetherALargerOneLeads)
{
    auto first = this->start("first", small);
    auto second = this->start("second", large);
    auto third = this->start("third", small);
    BOOST_TEST(this->runUntil([&] { return second->isLeader(); }, Milliseconds(2000)));
    this->runUntil([] { return false; }, Milliseconds(1500));
    BOOST_TEST(second->isLeader());
    BOOST_TEST(!first->isLeader());
    BOOST_TEST(!third->isLeader());
}

BOOST_AUTO_TEST_CASE(aSmallerLeaderHandsOverToALargerDaemon)
{
    auto first = this->start("first", small);
    BOOST_REQUIRE(this->runUntil([&] { return first->isLeader(); }));
    auto second = this->start("second", large);
    auto third = this->start("third", large);
    BOOST_TEST(this->runUntil([&] { return second->isLeader() || third->isLeader(); }));
    BOOST_TEST(!first->isLeader());
    BOOST_TEST(std::max(second->token, third->token) > first->token);
    // A daemon of equal size does not replace the leader.
    std::int64_t token = std::max(second->token, third->token);
    this->runUntil([] { return false; }, Milliseconds(2500));
    BOOST_TEST(std::max(second->token, third->token) == token);
    BOOST_TEST(!this->tables.items.contains(StoreKeys::offer));
}

BOOST_AUTO_TEST_CASE(aSmallDaemonLeadsWhileNoLargerOneIsAlive)
{
    auto first = this->start("first", large);
    BOOST_REQUIRE(this->runUntil([&] { return first->isLeader(); }));
    auto second = this->start("second", small);
    this->runUntil([] { return false; }, Milliseconds(500));
    first->store.isUnresponsive = true;
    BOOST_TEST(this->runUntil([&] { return second->isLeader(); }, Milliseconds(4000)));
    // The larger daemon reconnects and becomes leader again.
    first->store.isUnresponsive = false;
    BOOST_TEST(this->runUntil([&] { return first->isLeader() && !second->isLeader(); }));
    BOOST_TEST(first->token > second->token);
}

/// Guards against a mix of versions in which a hand-over of the earlier one is read as one without earlier orders.
BOOST_AUTO_TEST_CASE(theRecordOfAnEarlierVersionLeavesOpenHowLongEarlierLeadersAct)
{
    auto earlier = LeaderRecord::decode(R"({"daemon":"","epoch":3,"incarnation":"1"})");
    BOOST_REQUIRE(earlier.has_value());
    BOOST_TEST(!earlier->earlierOrdersFor.has_value());
    earlier->earlierOrdersFor = Milliseconds(0);
    auto present = LeaderRecord::decode(earlier->encode());
    BOOST_REQUIRE(present.has_value());
    BOOST_TEST((present->earlierOrdersFor == Milliseconds(0)));
}

/// Guards against waits that a hand-over shortens.
BOOST_AUTO_TEST_CASE(noWaitEndsSoonerForTheNextLeaderThanForTheLastOne)
{
    Instant writtenAt = BootClock::now();
    Instant readAt = writtenAt + Microseconds(70'300);
    std::pair<TaskName, std::uint32_t> attempt { { JobId("5c0e7a21d94b36f8"), 0, 1, 17 }, 2 };
    OpenOrders orders;
    orders.starts[attempt] = writtenAt - Microseconds(744'900);
    orders.leases[WorkerId("w")]
        = { Deadline::after(writtenAt, Microseconds(3'100'100)), Deadline::after(writtenAt, Microseconds(5'600'100)) };
    OpenOrdersCodec codec;
    OpenOrders read = codec.decode(codec.encode(orders, writtenAt), readAt);
    BOOST_REQUIRE(read.starts.contains(attempt));
    BOOST_TEST((read.starts[attempt] >= orders.starts[attempt]));
    BOOST_TEST((read.starts[attempt] <= orders.starts[attempt] + Milliseconds(72)));
    BOOST_TEST((read.leases[WorkerId("w")].known >= orders.leases[WorkerId("w")].known));
    BOOST_TEST((read.leases[WorkerId("w")].longest >= orders.leases[WorkerId("w")].longest));
    BOOST_TEST(codec.decode(R"({"starts":[["x",1,1],[]],"leases":{}})", readAt).starts.empty());
}

/// Guards against a wait for orders of a leader that has resigned: the watch shows the acquisition before its answer.
BOOST_AUTO_TEST_CASE(noOrdersOfALeaderThatHasResignedAreWaitedForIfTheWatchIsFaster)
{
    auto first = this->start("first", large);
    BOOST_REQUIRE(this->runUntil([&] { return first->isLeader(); }, Milliseconds(3000)));
    auto second = this->start("second", large);
    this->runUntil([] { return false; }, Milliseconds(1000));
    second->store.loseCommits = 1;
    second->store.lostAnswerTimeout = Milliseconds(500);
    first->leadership.resign();
    BOOST_REQUIRE(this->runUntil([&] { return second->isLeader(); }, Milliseconds(400)));
    BOOST_TEST(second->leadership.currentTerm().earlierOrdersExpire.hasPassed(BootClock::now() + Milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()
