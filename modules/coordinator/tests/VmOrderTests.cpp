#include <coordinator/fleet/VmOrderList.h>
#include <coordinator/tests/FleetFixture.h>

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace Greengage;

namespace {

struct VmOrderFixture : FleetFixture {
    VmOrderFixture()
    {
        for (int index = 0; index < 6; ++index)
            this->addVm("m" + std::to_string(index), "off");
    }

    /// Checks that the successor of leader 3 sends no order until none of that leader's can take effect, if this text
    /// is stored as the list of its orders.
    void checkAllAreSparedAfter(const std::string& list)
    {
        KvCommit earlier;
        earlier.puts = { { StoreKeys::leader, LeaderRecord { DaemonId(), IncarnationId("0"), 3 }.encode() } };
        if (!list.empty())
            earlier.puts.emplace_back(StoreKeys::vmOrders, list);
        this->first = this->start("first");
        this->first->store.commit(earlier, [](auto) {});
        BOOST_REQUIRE(this->runUntil([this] { return this->first->leadership.isLeader(); }));
        BOOST_TEST(this->runUntil([this] { return !this->fleet.orders.empty(); }, openOrders + Milliseconds(1000)));
        BOOST_TEST((this->fleet.orders.front().at - this->first->wonAt >= openOrders));
    }

    std::set<VmId> orderedBy(const FleetDaemon& daemon) const
    {
        std::set<VmId> vms;
        for (const auto& order : this->fleet.orders) {
            if (order.token == daemon.token)
                vms.insert(order.vm);
        }
        return vms;
    }

    std::optional<VmOrderRecord> storedOrders() const
    {
        auto item = this->tables.items.find(StoreKeys::vmOrders);
        return item == this->tables.items.end() ? std::nullopt : VmOrderRecord::decode(item->second.value);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(VmOrders, VmOrderFixture)

/// While a site starts, not all of its workers are listed yet, and pools seem to lack VMs.
BOOST_AUTO_TEST_CASE(theFirstLeaderWaitsBeforeItSizesPools)
{
    this->first = this->start("first");
    BOOST_TEST(this->runUntil([this] { return this->orderedBy(*this->first).size() == 2U; }, Milliseconds(8000)));
    for (const auto& order : this->fleet.orders)
        BOOST_TEST((order.at - this->first->wonAt >= openOrders));
}

/// Loss of a leader: its successor grows the pools at once, and leaves alone only the VMs that the lost leader may have
/// sent an order to, for as long as this may take effect.
BOOST_AUTO_TEST_CASE(aSuccessorSparesOnlyTheVmsThatTheLostLeaderOrdered)
{
    this->first = this->start("first");
    this->first->link.outcome = VmOrderOutcome::NoAnswer;
    BOOST_REQUIRE(this->runUntil([this] { return this->orderedBy(*this->first).size() == 2U; }, Milliseconds(8000)));
    auto earlier = this->orderedBy(*this->first);
    this->second = this->start("second");
    this->first->store.isUnresponsive = true;
    BOOST_REQUIRE(this->runUntil([this] { return this->second->leadership.isLeader(); }));
    BOOST_TEST(this->runUntil([this] { return this->orderedBy(*this->second).size() == 2U; }, Milliseconds(1000)));
    for (const auto& vm : this->orderedBy(*this->second))
        BOOST_TEST(!earlier.contains(vm), vm.string());
    // Until no earlier order can take effect, the list names the VMs of both leaders for the next one.
    auto stored = this->storedOrders();
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored->vms.size() == 4U);
    // Growth beyond what the others can serve takes the spared VMs too, once they obey one leader only.
    for (auto& [id, info] : this->fleet.vms) {
        if (!earlier.contains(id))
            info.state = VmPhase::Down;
    }
    BOOST_TEST(this->runUntil(
        [&] {
            auto vms = this->orderedBy(*this->second);
            return std::any_of(earlier.begin(), earlier.end(), [&vms](const auto& vm) { return vms.contains(vm); });
        },
        openOrders + Milliseconds(4000)));
    for (const auto& order : this->fleet.orders) {
        if (order.token == this->second->token && earlier.contains(order.vm))
            BOOST_TEST((order.at - this->second->wonAt >= openOrders));
    }
}

/// A leader of an earlier release does not keep the list, so nothing is known of its orders.
BOOST_AUTO_TEST_CASE(afterALeaderThatKeptNoListAllVmsAreSpared) { this->checkAllAreSparedAfter({}); }

BOOST_AUTO_TEST_CASE(afterAListOfAnEarlierLeaderAllVmsAreSpared)
{
    this->checkAllAreSparedAfter(VmOrderRecord { 1, {} }.encode());
}

BOOST_AUTO_TEST_CASE(afterAnUnreadableListAllVmsAreSpared) { this->checkAllAreSparedAfter("[]"); }

/// Around a hand-over: an order whose storing was not confirmed is not sent.
BOOST_AUTO_TEST_CASE(anOrderThatIsNotStoredIsNotSent)
{
    this->first = this->start("first");
    BOOST_REQUIRE(this->runUntil([this] { return this->first->leadership.isLeader(); }));
    this->first->store.loseCommits = 1;
    BOOST_TEST(this->runUntil([this] { return !this->fleet.orders.empty(); }));
    auto stored = this->storedOrders();
    BOOST_REQUIRE(stored.has_value());
    for (const auto& order : this->fleet.orders)
        BOOST_TEST(stored->vms.contains(order.vm));
    std::size_t sent = this->fleet.orders.size();
    // Another daemon has acquired the leadership meanwhile: the storing is refused, and nothing is sent.
    KvCommit change;
    change.puts = { { StoreKeys::leader, LeaderRecord { DaemonId("other"), IncarnationId("x"), 9 }.encode() } };
    this->first->store.commit(change, [](auto) {});
    for (auto& [id, info] : this->fleet.vms)
        info.state = info.pool == PoolId("north") ? VmPhase::Down : info.state;
    this->runUntil([] { return false; }, Milliseconds(800));
    BOOST_TEST(this->fleet.orders.size() == sent);
}

/// Load: the store refuses calls right after a takeover. The last leader's list is asked for again, with a pause.
BOOST_AUTO_TEST_CASE(aListThatCannotBeReadIsAskedForAgainAfterAPause)
{
    this->first = this->start("first");
    BOOST_REQUIRE(this->runUntil([this] { return this->first->leadership.isLeader(); }));
    this->first->store.isRefusing = true;
    std::size_t readsBefore = this->first->store.readCalls;
    this->runFor(Milliseconds(600));
    std::size_t reads = this->first->store.readCalls - readsBefore;
    BOOST_TEST(reads >= 2U);
    // One every 200 ms.
    BOOST_TEST(reads <= 4U);
    this->first->store.isRefusing = false;
    BOOST_TEST(this->runUntil([this] { return !this->fleet.orders.empty(); }));
}

BOOST_AUTO_TEST_CASE(theStoredListSurvivesEncodingAndRejectsOtherText)
{
    auto again = VmOrderRecord::decode(VmOrderRecord { 7, { VmId("m1"), VmId("m2") } }.encode());
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->epoch == 7U);
    BOOST_TEST(again->vms.size() == 2U);
    for (const char* text :
        { "", "[]", "{}", "{\"epoch\":-1,\"vms\":[]}", "{\"epoch\":1,\"vms\":[2]}", "{\"epoch\":1}" })
        BOOST_TEST(!VmOrderRecord::decode(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
