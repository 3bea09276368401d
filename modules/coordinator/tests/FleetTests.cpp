#include <coordinator/fleet/WaveRecord.h>
#include <coordinator/leadership/HolderRecord.h>
#include <coordinator/placing/CrewRecord.h>
#include <coordinator/placing/EndedJob.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

BOOST_AUTO_TEST_SUITE(StoredRecords)

BOOST_AUTO_TEST_CASE(recordsComeBackAsTheyWereStored)
{
    WaveRecord wave { { VmId("m1"), VmId("m2") }, true };
    auto waveAgain = WaveRecord::decode(wave.encode());
    BOOST_REQUIRE(waveAgain.has_value());
    BOOST_TEST(waveAgain->isCompleted);
    BOOST_TEST(waveAgain->done.size() == 2U);

    WorkerFacts facts;
    facts.id = WorkerId("w1");
    facts.pool = PoolId("north");
    facts.address = "127.0.0.1";
    facts.port = 7000;
    facts.bornUnixMs = 12;
    auto crew = CrewRecord::decode(CrewRecord { { facts } }.encode());
    BOOST_REQUIRE((crew && crew->workers.size() == 1U));
    BOOST_TEST(crew->workers.front().port == 7000);
    BOOST_TEST(crew->workers.front().bornUnixMs == 12);

    auto holder = HolderRecord::decode(HolderRecord { DaemonId("d"), IncarnationId("i"), 3 }.encode());
    BOOST_REQUIRE(holder.has_value());
    BOOST_TEST(holder->epoch == 3U);

    auto ended = EndedJob::decode(EndedJob { JobState::Failed, 17 }.encode());
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST((ended->state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(textsOfOthersAreRefused)
{
    for (const char* text : { "", "[]", "{}", "null", "{\"done\":1,\"completed\":true}", "{\"workers\":[[1]]}",
             "{\"state\":\"odd\",\"endedMs\":1}" }) {
        BOOST_TEST(!WaveRecord::decode(text).has_value());
        BOOST_TEST(!CrewRecord::decode(text).has_value());
        BOOST_TEST(!HolderRecord::decode(text).has_value());
        BOOST_TEST(!EndedJob::decode(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
