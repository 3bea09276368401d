#include <boost/test/unit_test.hpp>

#include <fleet/maintenance/ledger/MaintenanceLedger.h>

using namespace Greengage;

namespace {

MaintenanceLedger sampleLedger()
{
    MaintenanceLedger ledger;
    ledger.revision = 7;
    ledger.vms.push_back({ VmId("vm-1"), WaveId("w"), ZoneId("z"), RackId("r"), MaintenancePhase::Joining, PoolId("a"),
        PoolId("b"), 5, 12, true });
    WaveProgress wave;
    wave.wave = WaveId("w");
    wave.state = WaveState::Paused;
    wave.lastCommand = "c-1";
    wave.remaining = { VmId("vm-2") };
    wave.done = { { VmId("vm-3"), PoolId("a") } };
    wave.stuck = { VmId("vm-4") };
    ledger.waves.push_back(wave);
    return ledger;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MaintenanceLedgerSuite)

BOOST_AUTO_TEST_CASE(anEncodedLedgerDecodesToTheSameValue)
{
    auto text = sampleLedger().encode();
    auto decoded = MaintenanceLedger::decode(text);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().encode() == text);
    BOOST_TEST(decoded.value().vms[0].documentRevision == 12U);
    BOOST_TEST(decoded.value().vms[0].isRollback);
    BOOST_TEST((decoded.value().waves[0].state == WaveState::Paused));
    BOOST_TEST(decoded.value().outOfService().count(VmId("vm-1")) == 1U);
}

BOOST_AUTO_TEST_CASE(everyTruncationOfALedgerIsRefused)
{
    auto text = sampleLedger().encode();
    for (std::size_t length = 1; length < text.size(); length++)
        BOOST_TEST(!MaintenanceLedger::decode(text.substr(0, length)).has_value());
}

BOOST_AUTO_TEST_CASE(aWrongMemberIsNamed)
{
    auto refused = MaintenanceLedger::decode(R"({"revision":1,"documentRevision":1,"vms":[{"vm":3}],"waves":[]})");
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST(refused.error().detail == "vm: expected a text");
    BOOST_TEST(!MaintenanceLedger::decode(R"({"revision":"1","documentRevision":1,"vms":[],"waves":[]})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
