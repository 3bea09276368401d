#include <coordinator/tests/CoordinatorFixture.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

/// Workers that come and go while the store loses answers to the writes of the roster.
struct WorkerRosterFixture : CoordinatorFixture {
    WorkerRosterFixture()
    {
        this->workers.longestLease = FakeDaemon::longestGrantedLease;
        this->workers.taskLength = Milliseconds(20'000);
        this->first->coordinator.start();
        BOOST_REQUIRE(this->runUntil([this] { return this->storedWorkers().size() == 2U; }));
    }

    std::vector<WorkerId> storedWorkers() const
    {
        std::vector<WorkerId> ids;
        auto found = this->tables.items.find(StoreKeys::workerRoster);
        if (found == this->tables.items.end())
            return ids;
        auto record = WorkerRosterRecord::decode(found->second.value);
        BOOST_REQUIRE(record.has_value());
        for (const auto& info : record->workers)
            ids.push_back(info.id);
        return ids;
    }

    /// Has a worker end with its VM, and the write of the roster without it be applied without an answer.
    void forgetWithoutAnAnswer(const WorkerId& id)
    {
        this->first->store.losesAnswersOf = StoreKeys::workerRoster;
        VmInfo other;
        other.id = VmId("m");
        other.worker = WorkerId("w2");
        this->first->vmService.vms = { other };
        this->first->link.unreachable = { id };
        this->first->coordinator.removeWorker(id);
        BOOST_REQUIRE(this->runUntil([this] { return this->storedWorkers().size() == 1U; }, Milliseconds(10'000)));
    }

    WorkerId lost { "w1" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerRosters, WorkerRosterFixture)

/// Guards against a worker that gets no task: it comes back after a write of the roster without it got no answer.
BOOST_AUTO_TEST_CASE(aWorkerThatAnUnansweredWriteLeftOutIsStoredAgain)
{
    this->forgetWithoutAnAnswer(this->lost);
    this->first->link.unreachable.clear();
    this->first->coordinator.setWorkers(FakeDaemon::directory());
    this->first->store.losesAnswersOf.clear();
    BOOST_TEST(this->runUntil([this] { return this->storedWorkers().size() == 2U; }, Milliseconds(1000)));
    this->first->coordinator.removeWorker(WorkerId("w2"));
    this->submit(*this->first, this->job("j", 1));
    BOOST_TEST(this->runUntil([this] { return this->workers.starts == 1U; }, Milliseconds(1000)));
}

/// Guards against a task that runs twice at once: the next leader knows only the former address of a worker, at which
/// another one answers.
BOOST_AUTO_TEST_CASE(aChangedAddressIsStored)
{
    this->submit(*this->first, this->job("j", 1));
    BOOST_REQUIRE(this->runUntil([this] { return this->workers.starts == 1U; }));
    WorkerId moved = this->busiestWorker();
    for (auto info : FakeDaemon::directory()) {
        info.address = "moved";
        if (info.id == moved)
            this->first->coordinator.updateWorker(info);
    }
    this->runFor(Milliseconds(500));
    this->second = this->makeDaemon("second", "2");
    this->second->link.replacedAddresses = { "" };
    this->second->coordinator.onWorkerWatchNeeded([this](bool) { this->second->coordinator.setWorkers({}); });
    this->second->coordinator.start();
    this->first->coordinator.resign();
    this->runFor(Milliseconds(1500));
    WorkerInfo other = FakeDaemon::directory()[moved == WorkerId("w1") ? 1 : 0];
    other.address = "other";
    this->second->coordinator.updateWorker(other);
    this->runFor(Milliseconds(1500));
    BOOST_TEST(this->second->coordinator.isLeader());
    BOOST_TEST(this->workers.startedTwice.empty());
}

BOOST_AUTO_TEST_SUITE_END()
