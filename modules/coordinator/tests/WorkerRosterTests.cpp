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

BOOST_AUTO_TEST_SUITE_END()
