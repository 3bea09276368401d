#include <boost/test/unit_test.hpp>

#include <config/model/Document.h>
#include <fleet/maintenance/plan/WavePlan.h>
#include <store/vms/VmRecord.h>

using namespace Greengage;

namespace {

std::shared_ptr<Document> makeDocument(std::vector<VmRecord>& vms, int zones, int perZone)
{
    auto document = std::make_shared<Document>();
    document->revision = 1;
    Service service;
    service.name = ServiceId("pricing");
    service.maxUnavailable = 2;
    document->services.push_back(service);
    Pool pool;
    pool.name = PoolId("pricing");
    pool.service = service.name;
    for (int zone = 0; zone < zones; zone++) {
        for (int index = 0; index < perZone; index++) {
            VmId id(std::to_string(zone) + "-" + std::to_string(index));
            vms.push_back({ id, "127.0.0.1", 1, ZoneId(std::to_string(zone)), RackId(id.string()), VmState::Live });
            pool.vms.push_back(id);
        }
    }
    document->pools.push_back(pool);
    Wave wave;
    wave.name = WaveId("w");
    wave.pools = { pool.name };
    wave.maxConcurrent = 5;
    document->waves.push_back(wave);
    return document;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WavePlanSuite)

BOOST_AUTO_TEST_CASE(thePlanMeetsItsLowerBoundWhenZonesAreEven)
{
    std::vector<VmRecord> vms;
    auto document = makeDocument(vms, 3, 4);
    auto plan = planWave(document, vms, document->waves[0], Seconds(30));
    BOOST_TEST(plan.steps.size() == 12U);
    BOOST_TEST(plan.maxOutOfService == 2);
    BOOST_TEST(plan.lowerBound.count() == 180);
    BOOST_TEST(plan.duration.count() == 180);
    BOOST_TEST(plan.waiting.empty());
}

BOOST_AUTO_TEST_CASE(aVmThatIsNotLiveIsWaitedForAndCountsAsOut)
{
    std::vector<VmRecord> vms;
    auto document = makeDocument(vms, 2, 2);
    vms[0].state = VmState::Leaving;
    auto plan = planWave(document, vms, document->waves[0], Seconds(30));
    BOOST_TEST(plan.steps.size() == 3U);
    BOOST_TEST(plan.maxOutOfService == 1);
    BOOST_TEST((plan.waiting == std::vector<VmId> { VmId("0-0") }));
}

BOOST_AUTO_TEST_SUITE_END()
