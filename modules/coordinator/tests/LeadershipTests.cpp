#include <coordinator/leadership/Leadership.h>
#include <coordinator/tests/MemoryStore.h>
#include <core/log/Log.h>
#include <loop/memory/EventDeleter.h>

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <memory>

using namespace Greengage;

namespace {

constexpr std::int64_t small = 120;
constexpr std::int64_t large = 500;

/// One daemon's share in the leadership.
struct Candidate {
    Candidate(event_base& base, MemoryTables& tables, const char* name, std::int64_t cpuMillis)
        : store(base, tables)
        , leadership(base, this->store, DaemonId(name), IncarnationId(std::string(name) + "-1"), cpuMillis,
              { [this](const Term& term) { this->token = term.fencingToken; }, [] {}, [] { return std::string("{}"); },
                  [](const std::string&) {} })
    {
        this->leadership.start();
    }

    bool holds() const { return this->leadership.isHolder(); }

    std::int64_t token = 0;
    MemoryStore store;
    Leadership<MemoryStore> leadership;
};

struct LeadershipFixture {
    LeadershipFixture() { startLog(LogLevel::Error); }

    std::unique_ptr<Candidate> start(const char* name, std::int64_t cpuMillis)
    {
        return std::make_unique<Candidate>(*this->base, this->tables, name, cpuMillis);
    }

    /// Runs the loop until the condition holds. False if it does not within the time.
    template <typename Condition> bool runUntil(Condition condition, Milliseconds atMost = Milliseconds(6000))
    {
        auto deadline = Deadline::after(BootClock::now(), atMost);
        while (!condition() && !deadline.hasPassed(BootClock::now())) {
            after(*this->base, Milliseconds(2), [] {});
            event_base_loop(this->base.get(), EVLOOP_ONCE);
        }
        return condition();
    }

    EventPointer<event_base> base { event_base_new() };
    MemoryTables tables;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Leading, LeadershipFixture)

BOOST_AUTO_TEST_CASE(ofDaemonsThatStartTogetherALargerOneLeads)
{
    auto first = this->start("first", small);
    auto second = this->start("second", large);
    auto third = this->start("third", small);
    BOOST_TEST(this->runUntil([&] { return second->holds(); }, Milliseconds(2000)));
    this->runUntil([] { return false; }, Milliseconds(1500));
    BOOST_TEST(second->holds());
    BOOST_TEST(!first->holds());
    BOOST_TEST(!third->holds());
}

BOOST_AUTO_TEST_CASE(aSmallerHolderHandsOverToALargerDaemon)
{
    auto first = this->start("first", small);
    BOOST_REQUIRE(this->runUntil([&] { return first->holds(); }));
    auto second = this->start("second", large);
    auto third = this->start("third", large);
    BOOST_TEST(this->runUntil([&] { return second->holds() || third->holds(); }));
    BOOST_TEST(!first->holds());
    BOOST_TEST(std::max(second->token, third->token) > first->token);
    // Equals leave the part where it is.
    std::int64_t token = std::max(second->token, third->token);
    this->runUntil([] { return false; }, Milliseconds(2500));
    BOOST_TEST(std::max(second->token, third->token) == token);
    BOOST_TEST(!this->tables.items.contains(StoreKeys::offer));
}

BOOST_AUTO_TEST_CASE(aSmallDaemonLeadsWhileNoLargerOneIsAlive)
{
    auto first = this->start("first", large);
    BOOST_REQUIRE(this->runUntil([&] { return first->holds(); }));
    auto second = this->start("second", small);
    this->runUntil([] { return false; }, Milliseconds(500));
    first->store.isSilent = true;
    BOOST_TEST(this->runUntil([&] { return second->holds(); }, Milliseconds(4000)));
    // The larger one comes back and takes its part again.
    first->store.isSilent = false;
    BOOST_TEST(this->runUntil([&] { return first->holds() && !second->holds(); }));
    BOOST_TEST(first->token > second->token);
}

BOOST_AUTO_TEST_SUITE_END()
