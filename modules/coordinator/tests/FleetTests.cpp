#include <coordinator/fleet/FleetView.h>
#include <coordinator/fleet/WaveRecord.h>
#include <coordinator/leadership/LeaderRecord.h>
#include <coordinator/placing/EndedJob.h>
#include <coordinator/placing/WorkerRosterRecord.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

BOOST_AUTO_TEST_SUITE(StoredRecords)

BOOST_AUTO_TEST_CASE(recordsSurviveEncodingAndDecoding)
{
    WaveRecord wave { { VmId("m1"), VmId("m2") }, true };
    auto waveAgain = WaveRecord::decode(wave.encode());
    BOOST_REQUIRE(waveAgain.has_value());
    BOOST_TEST(waveAgain->isCompleted);
    BOOST_TEST(waveAgain->done.size() == 2U);

    WorkerInfo info;
    info.id = WorkerId("w1");
    info.pool = PoolId("north");
    info.address = "127.0.0.1";
    info.port = 7000;
    info.incarnationUnixMs = 12;
    auto workerRoster = WorkerRosterRecord::decode(WorkerRosterRecord { { info }, { info.id } }.encode());
    BOOST_REQUIRE((workerRoster && workerRoster->workers.size() == 1U));
    BOOST_TEST(workerRoster->workers.front().port == 7000);
    BOOST_TEST(workerRoster->workers.front().incarnationUnixMs == 12);
    BOOST_TEST(workerRoster->restarted.contains(info.id));
    // As the release before wrote it.
    auto earlier = WorkerRosterRecord::decode(R"({"workers":[["w1","north","127.0.0.1",7000,12]]})");
    BOOST_REQUIRE(earlier.has_value());
    BOOST_TEST(earlier->restarted.empty());

    auto leader = LeaderRecord::decode(LeaderRecord { DaemonId("d"), IncarnationId("i"), 3 }.encode());
    BOOST_REQUIRE(leader.has_value());
    BOOST_TEST(leader->epoch == 3U);

    auto ended = EndedJob::decode(EndedJob { JobState::Failed, 17 }.encode());
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST((ended->state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(malformedRecordsAreRejected)
{
    for (const char* text : { "", "[]", "{}", "null", "{\"done\":1,\"completed\":true}", "{\"workers\":[[1]]}",
             "{\"state\":\"odd\",\"endedMs\":1}" }) {
        BOOST_TEST(!WaveRecord::decode(text).has_value());
        BOOST_TEST(!WorkerRosterRecord::decode(text).has_value());
        BOOST_TEST(!LeaderRecord::decode(text).has_value());
        BOOST_TEST(!EndedJob::decode(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Listings of the VMs m1 and m2, of which w1 has ended on m1.
class ListingsFixture {
public:
    static VmInfo row(const char* vm, const char* worker, bool isReadable = true)
    {
        VmInfo info;
        info.id = VmId(vm);
        info.worker = WorkerId(worker);
        info.isReadable = isReadable;
        return info;
    }

    /// Whether w1 counts as ended once this listing has arrived twice, after the given ones.
    static bool hasEnded(const std::vector<std::vector<VmInfo>>& earlier, const std::vector<VmInfo>& listing)
    {
        FleetView fleet;
        int second = 0;
        for (const auto& vms : earlier)
            fleet.apply(vms, Instant(Seconds(++second)));
        Instant lastSign { Seconds(second) };
        for (int round = 0; round < 2; ++round)
            fleet.apply(listing, Instant(Seconds(++second)));
        return fleet.hasWorkerEnded(WorkerId("w1"), lastSign);
    }

    const std::vector<VmInfo> both { row("m1", "w1"), row("m2", "w2") };
    const std::vector<VmInfo> otherUnreadable { row("m1", ""), row("m2", "", false) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UnreadableRows, ListingsFixture)

/// Guards against an unreadable row that keeps the ends of all workers from being seen.
BOOST_AUTO_TEST_CASE(anUnreadableRowOfAnotherVmHidesNoEnd)
{
    BOOST_TEST(hasEnded({ this->both }, this->otherUnreadable));
    BOOST_TEST(hasEnded({ this->both, this->otherUnreadable }, this->otherUnreadable));
}

/// Guards against a task that runs twice: the worker may run on the VM that cannot be read.
BOOST_AUTO_TEST_CASE(aWorkerThatMayRunOnAnUnreadableVmHasNotEnded)
{
    BOOST_TEST(!hasEnded({ this->both }, { row("m1", "", false), row("m2", "w2") }));
    BOOST_TEST(!hasEnded({}, this->otherUnreadable));
    BOOST_TEST(!hasEnded({ { row("m1", "w1"), row("m2", "w1") } }, this->otherUnreadable));
    BOOST_TEST(!hasEnded({ this->both, { row("m1", ""), row("m2", "w1") }, this->both }, this->otherUnreadable));
    BOOST_TEST(!hasEnded({ this->both }, { row("m1", ""), row("m1", "", false), row("m2", "w2") }));
    BOOST_TEST(!hasEnded({ this->both }, { row("m1", "w1"), row("m1", ""), row("m2", "w2") }));
}

/// Guards against a row without a VM that keeps the ends of all workers from being seen.
BOOST_AUTO_TEST_CASE(aRowWithoutAVmHidesNoEndOnAVmThatIsListed)
{
    BOOST_TEST(hasEnded({ this->both }, { row("m1", ""), row("m2", "w2"), row("", "", false) }));
    BOOST_TEST(!hasEnded({ this->both }, { row("m1", "", false), row("m2", "w2"), row("", "", false) }));
    BOOST_TEST(!hasEnded({}, { row("m1", ""), row("m2", "w2"), row("", "", false) }));
}

/// Guards against a task that runs twice: a row that does not show its VM may be that of the worker.
BOOST_AUTO_TEST_CASE(aRowWithoutAVmMayHideAnyWorkerAndAnyVm)
{
    std::vector<VmInfo> nameless { row("", "", false), row("m2", "w2") };
    BOOST_TEST(!hasEnded({ this->both }, nameless));
    FleetView fleet;
    fleet.apply(nameless, Instant(Seconds(1)));
    BOOST_TEST(fleet.vms().size() == 1U);
    fleet.apply(nameless, Instant(Seconds(2)));
    BOOST_TEST(!fleet.isUnlisted(VmId("m1"), Instant(Seconds(0))));
}

BOOST_AUTO_TEST_SUITE_END()
