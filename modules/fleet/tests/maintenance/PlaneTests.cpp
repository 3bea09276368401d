#include <boost/test/unit_test.hpp>

#include <config/model/Document.h>
#include <fleet/maintenance/MaintenancePlane.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>

using namespace Greengage;

namespace {

template <typename Message> const Message* findOutput(const std::vector<MaintenanceOutput>& outputs)
{
    for (const auto& output : outputs) {
        if (const auto* message = std::get_if<Message>(&output))
            return message;
    }
    return nullptr;
}

std::shared_ptr<const Document> documentWithVm()
{
    auto document = std::make_shared<Document>();
    document->revision = 3;
    Pool pool;
    pool.name = PoolId("a");
    pool.vms = { VmId("vm-1") };
    document->pools.push_back(pool);
    pool.name = PoolId("b");
    pool.vms.clear();
    document->pools.push_back(pool);
    Wave wave;
    wave.name = WaveId("w");
    document->waves.push_back(wave);
    return document;
}

std::string ledgerWithMove()
{
    MaintenanceLedger ledger;
    ledger.revision = 5;
    ledger.vms.push_back({ VmId("vm-1"), WaveId("w"), ZoneId("z"), RackId("r"), MaintenancePhase::Moving, PoolId("a"),
        PoolId("b"), 4, 0, false });
    return ledger.encode();
}

const Instant start { Seconds(100) };

std::string ledgerWith(MaintenancePhase phase, std::uint64_t documentRevision)
{
    MaintenanceLedger ledger;
    ledger.revision = 5;
    ledger.vms.push_back({ VmId("vm-1"), WaveId("w"), ZoneId("z"), RackId("r"), phase, PoolId("a"), PoolId(), 4,
        documentRevision, false });
    ledger.waves.push_back({ WaveId("w"), WaveState::Paused, "c", {}, {}, {} });
    return ledger.encode();
}

PeerHeard makePeerHeard(
    const char* incarnation, std::uint64_t ledgerRevision, std::uint64_t documentRevision, Instant at)
{
    PeerState state;
    state.incarnation = IncarnationId(incarnation);
    state.zone = ZoneId("z");
    state.appliedLedgerRevision = ledgerRevision;
    state.appliedRevision = documentRevision;
    return { state, at };
}

/// Runs one tick of the driver d.0 with an idle report of vm-1, and a state of a second daemon d.1 if `other` is given.
/// Returns whether the plane requested a ledger write.
bool tickWrites(MaintenancePlane& plane, Instant at, const PeerHeard* other, bool isOtherListed)
{
    VmRecord vm { VmId("vm-1"), "127.0.0.1", 1, ZoneId("z"), RackId("r"), VmState::Live };
    MembersListed members { { { IncarnationId("d.0"), ZoneId("z"), {} } } };
    if (isOtherListed)
        members.members.push_back({ IncarnationId("d.1"), ZoneId("z"), {} });
    std::vector<MaintenanceInput> inputs { EndpointsListed { { vm }, {}, 5 }, members, makePeerHeard("d.0", 5, 3, at),
        RunningReported { VmId("vm-1"), at, {} } };
    if (other)
        inputs.emplace_back(*other);
    return findOutput<UpdateLedger>(plane.tick(at, inputs)) != nullptr;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MaintenancePlaneSuite)

BOOST_AUTO_TEST_CASE(aMoveWaitsForALedgerReadAfterItsDocument)
{
    MaintenancePlane plane(IncarnationId("d.0"));
    plane.tick(start, { LedgerRead { start, 9, ledgerWithMove() } });
    auto outputs = plane.tick(start + Seconds(1), { DocumentApplied { documentWithVm() } });
    BOOST_TEST(!findOutput<MoveVm>(outputs));
    BOOST_TEST(findOutput<ReadLedger>(outputs));
    outputs = plane.tick(start + Seconds(2), { LedgerRead { start + Milliseconds(1500), 9, ledgerWithMove() } });
    const auto* move = findOutput<MoveVm>(outputs);
    BOOST_REQUIRE(move);
    BOOST_TEST(move->baseRevision == 3U);
}

BOOST_AUTO_TEST_CASE(anUnreadableLedgerIsReportedAndReadAgain)
{
    MaintenancePlane plane(IncarnationId("d.0"));
    auto outputs = plane.tick(start, { LedgerRead { start, 1, "{" } });
    BOOST_TEST(findOutput<LedgerUnreadable>(outputs));
    BOOST_TEST(!findOutput<ReadLedger>(outputs));
    BOOST_TEST(findOutput<ReadLedger>(plane.tick(start + Seconds(1), {})));
}

BOOST_AUTO_TEST_CASE(aDaemonWithAnOlderDocumentThanTheLedgersWritesNothing)
{
    MaintenanceLedger ledger;
    ledger.revision = 5;
    ledger.documentRevision = 4;
    MaintenancePlane plane(IncarnationId("d.0"));
    auto outputs = plane.tick(start,
        { LedgerRead { start, 9, ledger.encode() }, DocumentApplied { documentWithVm() },
            WaveCommanded { "c", WaveId("w"), WaveVerb::Start, Deadline::after(start, Seconds(5)) } });
    BOOST_TEST(!findOutput<UpdateLedger>(outputs));
    outputs = plane.tick(start + Seconds(6), {});
    BOOST_REQUIRE(findOutput<CommandSettled>(outputs));
    BOOST_TEST((findOutput<CommandSettled>(outputs)->outcome == CommandOutcome::NotAccepted));
}

BOOST_AUTO_TEST_CASE(aVmJoinsOnlyOnceEveryDaemonHasItsNewPool)
{
    MaintenancePlane plane(IncarnationId("d.0"));
    plane.tick(start,
        { LedgerRead { start, 9, ledgerWith(MaintenancePhase::Joining, 3) }, DocumentApplied { documentWithVm() } });
    for (int second = 1; second < 10; second++) {
        auto behind = makePeerHeard("d.1", 5, 2, start + Seconds(second));
        BOOST_TEST(!tickWrites(plane, start + Seconds(second), &behind, true));
    }
    auto upToDate = makePeerHeard("d.1", 5, 3, start + Seconds(10));
    BOOST_TEST(tickWrites(plane, start + Seconds(10), &upToDate, true));
}

BOOST_AUTO_TEST_CASE(anUnresponsiveDaemonBlocksADrainUntilItsPermissionHasExpired)
{
    MaintenancePlane plane(IncarnationId("d.0"));
    plane.tick(start,
        { LedgerRead { start, 9, ledgerWith(MaintenancePhase::Draining, 0) }, DocumentApplied { documentWithVm() } });
    auto lastState = makePeerHeard("d.1", 3, 3, start + Seconds(1));
    BOOST_TEST(!tickWrites(plane, start + Seconds(1), &lastState, true));
    for (int second = 2; second < 16; second++)
        BOOST_TEST(!tickWrites(plane, start + Seconds(second), nullptr, false), "at " << second);
    bool isWritten = false;
    for (int second = 16; second < 20; second++)
        isWritten = isWritten || tickWrites(plane, start + Seconds(second), nullptr, false);
    BOOST_TEST(isWritten);
}

BOOST_AUTO_TEST_SUITE_END()
