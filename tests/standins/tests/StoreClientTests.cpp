#include <boost/test/unit_test.hpp>
#include <standins/tests/StoreFixture.h>

using namespace Greengage;

namespace {

using Vms = std::shared_ptr<const std::vector<VmRecord>>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreClientAgainstStandin, StoreFixture)

BOOST_AUTO_TEST_CASE(writesByCompareAndSwap)
{
    BOOST_TEST(this->write({ "a", "one", 0, "" }).value() == 1);
    auto conflict = this->write({ "a", "two", 0, "" });
    BOOST_TEST((conflict.error().code == StoreErrorCode::Conflict));
    BOOST_TEST(conflict.error().currentVersion == 1);
    BOOST_TEST(this->write({ "a", "two", 1, "" }).value() == 2);
    BOOST_TEST(this->read("a").value().value == "two");
    BOOST_TEST((this->read("b").error().code == StoreErrorCode::NotFound));
}

BOOST_AUTO_TEST_CASE(recreatedKeyContinuesWithALargerVersion)
{
    BOOST_TEST(this->write({ "a", "one", 0, "" }).has_value());
    BOOST_TEST(this->await<bool>([&](auto callback) { this->client.erase("a", 1, callback); }).value());
    BOOST_TEST((this->read("a").error().code == StoreErrorCode::NotFound));
    BOOST_TEST(this->write({ "a", "again", 0, "" }).value() == 2);
}

BOOST_AUTO_TEST_CASE(listsByPrefix)
{
    BOOST_TEST(this->write({ "members/1", "x", 0, "" }).has_value());
    BOOST_TEST(this->write({ "members/2", "y", 0, "" }).has_value());
    BOOST_TEST(this->write({ "other", "z", 0, "" }).has_value());
    auto entries
        = this->await<std::vector<StoreEntry>>([&](auto callback) { this->client.list("members/", callback); });
    BOOST_REQUIRE(entries.value().size() == 2);
    BOOST_TEST(entries.value()[1].value == "y");
}

BOOST_AUTO_TEST_CASE(watchAnswersWhenAKeyChanges)
{
    std::optional<Result<WatchResult, StoreError>> seen;
    this->client.watch({ "config/" }, 0, Milliseconds(8000), [&](auto result) { seen = std::move(result); });
    this->loop.runUntil([&] { return this->control("")["openWatches"].asInt() == 1; }, waitLimit);
    BOOST_TEST(this->write({ "else", "x", 0, "" }).has_value());
    BOOST_TEST(!seen.has_value());
    BOOST_TEST(this->write({ "config/document", "text", 0, "" }).has_value());
    this->loop.runUntil([&] { return seen.has_value(); }, waitLimit);
    BOOST_REQUIRE(seen->value().entries.size() == 1);
    BOOST_TEST(seen->value().entries[0].value == "text");
    BOOST_TEST(seen->value().storeRevision == 2);
}

BOOST_AUTO_TEST_CASE(watchEndsEmptyAfterItsWait)
{
    auto result = this->await<WatchResult>(
        [&](auto callback) { this->client.watch({ "config/" }, 0, Milliseconds(50), callback); });
    BOOST_TEST(result.value().entries.empty());
}

BOOST_AUTO_TEST_CASE(expiredLeaseDeletesItsKeysAndRefusesWrites)
{
    auto lease = this->await<std::string>([&](auto callback) { this->client.grantLease(Milliseconds(100), callback); })
                     .value();
    BOOST_TEST(this->write({ "members/1", "x", 0, lease }).has_value());
    BOOST_TEST(this->await<bool>([&](auto callback) { this->client.renewLease(lease, callback); }).value());
    auto deletion = this->await<WatchResult>(
        [&](auto callback) { this->client.watch({ "members/" }, 1, Milliseconds(8000), callback); });
    BOOST_REQUIRE(deletion.value().entries.size() == 1);
    BOOST_TEST(deletion.value().entries[0].version == 0);
    BOOST_TEST((this->write({ "members/2", "x", 0, lease }).error().code == StoreErrorCode::LeaseExpired));
    auto renewed = this->await<bool>([&](auto callback) { this->client.renewLease(lease, callback); });
    BOOST_TEST((renewed.error().code == StoreErrorCode::LeaseExpired));
}

BOOST_AUTO_TEST_CASE(writeWithALostAnswerHasTakenEffect)
{
    this->control(R"({"loseWriteAnswers":1})");
    BOOST_TEST((this->write({ "a", "one", 0, "" }).error().code == StoreErrorCode::AnswerLost));
    BOOST_TEST(this->read("a").value().value == "one");
    BOOST_TEST(this->write({ "a", "two", 1, "" }).value() == 2);
}

BOOST_AUTO_TEST_CASE(refusedConnectionIsNotSent)
{
    this->control(R"({"outage":"refuse"})");
    BOOST_TEST((this->write({ "a", "one", 0, "" }).error().code == StoreErrorCode::NotSent));
    this->control(R"({"outage":"none"})");
    BOOST_TEST((this->read("a").error().code == StoreErrorCode::NotFound));
    BOOST_TEST(this->write({ "a", "one", 0, "" }).value() == 1);
}

BOOST_AUTO_TEST_CASE(unresponsiveStoreLosesTheAnswerAndRecovers)
{
    this->control(R"({"outage":"silent"})");
    BOOST_TEST((this->write({ "a", "one", 0, "" }).error().code == StoreErrorCode::AnswerLost));
    this->control(R"({"outage":"none"})");
    BOOST_TEST((this->read("a").error().code == StoreErrorCode::NotFound));
}

BOOST_AUTO_TEST_CASE(blockedPrefixGetsNoAnswerAndOthersDo)
{
    StoreClient other(this->loop.base(), "127.3.0.1", this->port, "127.1.2.1");
    this->control(R"({"cut":["127.1.2."]})");
    auto cut = this->await<std::uint64_t>([&](auto callback) { other.write({ "a", "one", 0, "" }, callback); });
    BOOST_TEST((cut.error().code == StoreErrorCode::AnswerLost));
    BOOST_TEST(this->write({ "a", "one", 0, "" }).value() == 1);
}

BOOST_AUTO_TEST_CASE(vmListShowsChangesAfterItsLag)
{
    this->control(R"({"vms":[{"id":"vm-1","address":"127.2.1.1","port":80,"zone":"z1","rack":"r1","state":"live"}]})");
    auto readVms = [&] { return *this->await<Vms>([&](auto callback) { this->client.readVms(callback); }).value(); };
    BOOST_REQUIRE(readVms().size() == 1);
    BOOST_TEST((readVms()[0].state == VmState::Live));
    this->control(
        R"({"vmsLagMs":100000,"vms":[{"id":"vm-1","address":"127.2.1.1","port":80,"zone":"z1","rack":"r1","state":"leaving"}]})");
    BOOST_TEST((readVms()[0].state == VmState::Live));
}

BOOST_AUTO_TEST_CASE(unchangedVmListIsNotSentAgain)
{
    auto readVms = [&] { return this->await<Vms>([&](auto callback) { this->client.readVms(callback); }).value(); };
    this->control(R"({"vms":[{"id":"vm-1","address":"127.2.1.1","port":80,"zone":"z1","rack":"r1","state":"live"}]})");
    auto first = readVms();
    BOOST_TEST(readVms() == first);
    BOOST_TEST(this->control("")["unchangedVmLists"].asInt() == 1);
    this->control(R"({"vms":[]})");
    auto second = readVms();
    BOOST_TEST(second->empty());
    BOOST_TEST(first->size() == 1);
    BOOST_TEST(readVms() == second);
    BOOST_TEST(this->control("")["unchangedVmLists"].asInt() == 2);
}

BOOST_AUTO_TEST_CASE(callsAreCountedByKind)
{
    BOOST_TEST((this->read("a").error().code == StoreErrorCode::NotFound));
    BOOST_TEST((this->read("a").error().code == StoreErrorCode::NotFound));
    BOOST_TEST(this->write({ "a", "one", 0, "" }).has_value());
    auto counts = this->control("")["calls"];
    BOOST_TEST(counts["read"].asInt() == 2);
    BOOST_TEST(counts["write"].asInt() == 1);
}

BOOST_AUTO_TEST_CASE(destroyedClientDoesNotCallBack)
{
    bool calledBack = false;
    {
        StoreClient shortLivedClient(this->loop.base(), "127.3.0.1", this->port, "127.1.1.1");
        shortLivedClient.watch({ "x" }, 0, Milliseconds(5000), [&](auto) { calledBack = true; });
        this->loop.runUntil([&] { return this->control("")["openWatches"].asInt() == 1; }, waitLimit);
    }
    BOOST_TEST(this->write({ "x", "one", 0, "" }).has_value());
    BOOST_TEST(this->read("x").has_value());
    BOOST_TEST(!calledBack);
}

BOOST_AUTO_TEST_SUITE_END()
