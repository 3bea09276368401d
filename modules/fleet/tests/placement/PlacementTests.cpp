#include "FakeSite.h"

#include <boost/test/unit_test.hpp>

using namespace Greengage;

namespace {

const Resources brnoWorker { 32, 128, 0 };

Team makeTeam(const char* name, double share, int limit)
{
    Team team;
    team.name = TeamId(name);
    team.share = share;
    team.limit = limit;
    return team;
}

Job makeJob(const std::string& id, const char* team, Priority priority, const Resources& declared)
{
    Job job;
    job.id = JobId(id);
    job.team = TeamId(team);
    job.kind = "kind";
    job.priority = priority;
    job.declared = declared;
    return job;
}

/// Fills the site with long batch tasks of one team that can be checkpointed.
void fillWithBatch(FakeSite& site, const char* team, int count)
{
    for (int index = 0; index < count; index++) {
        auto job = makeJob("batch-" + std::to_string(index), team, Priority::Batch, { 8, 16, 0 });
        site.submit(job, { 8, 16, 0 }, Seconds(3600));
    }
    site.run(Seconds(5));
}

void expectNoViolations(const FakeSite& site, unsigned seed)
{
    for (const auto& text : site.foundViolations())
        BOOST_ERROR("seed " << seed << ": " << text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementSuite)

BOOST_AUTO_TEST_CASE(urgentWorkStartsInTimeOnAFullSite)
{
    constexpr Milliseconds startBound(4200);
    for (unsigned seed = 1; seed <= 20; seed++) {
        // With odd seeds the running tasks belong to the same team, which is at its upper limit.
        const char* owner = seed % 2 == 0 ? "inventory" : "certificates";
        FakeSite site(PlacementProfile::yard(), seed, 50, brnoWorker);
        site.setTeams({ makeTeam("inventory", 1, 1000), makeTeam("certificates", 1, seed % 2 == 0 ? 1000 : 200) });
        fillWithBatch(site, owner, 250);
        BOOST_TEST(site.runningCount() == 200U);
        for (int index = 0; index < 20; index++) {
            auto job = makeJob("urgent-" + std::to_string(index), "certificates", Priority::Urgent, { 4, 8, 0 });
            site.submit(job, { 4, 8, 0 }, Seconds(20));
            site.run(Milliseconds(300));
        }
        site.run(Seconds(10));
        for (int index = 0; index < 20; index++) {
            const auto& job = site.job("urgent-" + std::to_string(index));
            BOOST_REQUIRE(job.startedAt.has_value());
            BOOST_TEST((*job.startedAt - job.submittedAt).count() <= Microseconds(startBound).count(), "seed " << seed);
        }
        expectNoViolations(site, seed);
    }
}

BOOST_AUTO_TEST_CASE(teamsReachTheirSharesAndBorrowFreeCapacity)
{
    FakeSite site(PlacementProfile::yard(), 1, 50, brnoWorker);
    site.setTeams({ makeTeam("inventory", 1, 1000), makeTeam("plans", 3, 1000) });
    fillWithBatch(site, "inventory", 250);
    BOOST_TEST(site.usageOf(TeamId("inventory")) > 0.95);
    for (int index = 0; index < 250; index++)
        site.submit(makeJob("plan-" + std::to_string(index), "plans", Priority::Normal, { 8, 16, 0 }), { 8, 16, 0 },
            Seconds(3600));
    site.run(Seconds(60));
    BOOST_TEST(std::abs(site.usageOf(TeamId("plans")) - 0.75) < 0.05);
    BOOST_TEST(std::abs(site.usageOf(TeamId("inventory")) - 0.25) < 0.05);
    expectNoViolations(site, 1);
}

BOOST_AUTO_TEST_CASE(jobsThatCanNeverRunAreRefusedWithTheReason)
{
    FakeSite site(PlacementProfile::workshop(), 1, 4, brnoWorker);
    site.setTeams({ makeTeam("a", 1, 100) });
    site.submit(makeJob("huge", "a", Priority::Normal, { 40, 8, 0 }), { 40, 8, 0 }, Seconds(5));
    site.submit(makeJob("accelerated", "a", Priority::Normal, { 1, 8, 1 }), { 1, 8, 1 }, Seconds(5));
    site.submit(makeJob("broken", "a", Priority::Normal, { 1, 8, 0 }), { 1, 8, 0 }, Seconds(5)).neverStarts = true;
    site.submit(makeJob("stranger", "nobody", Priority::Normal, { 1, 8, 0 }), { 1, 8, 0 }, Seconds(5));
    for (int index = 0; index < 40; index++)
        site.submit(
            makeJob("good-" + std::to_string(index), "a", Priority::Normal, { 3, 8, 0 }), { 3, 8, 0 }, Seconds(5));
    site.run(Seconds(120));
    BOOST_TEST((site.job("huge").outcome == JobOutcome::NeverFits));
    BOOST_TEST((site.job("accelerated").outcome == JobOutcome::NeverFits));
    BOOST_TEST((site.job("broken").outcome == JobOutcome::NeverStarts));
    BOOST_TEST((site.job("stranger").outcome == JobOutcome::UnknownTeam));
    BOOST_TEST(site.allEnded());
}

BOOST_AUTO_TEST_CASE(workersThatFailEverythingAreQuarantinedAndProbed)
{
    FakeSite site(PlacementProfile::workshop(), 1, 20, brnoWorker);
    site.setTeams({ makeTeam("a", 1, 1000) });
    site.worker(0).failsEverything = true;
    site.worker(1).failsEverything = true;
    site.worker(2).failsEverything = true;
    for (int index = 0; index < 400; index++) {
        auto job = makeJob("job-" + std::to_string(index), "a", Priority::Normal, { 8, 16, 0 });
        job.idempotent = true;
        site.submit(job, { 8, 16, 0 }, Seconds(20));
    }
    site.run(Seconds(60));
    BOOST_TEST(site.quarantineCounts.size() == 2U, "the budget is a tenth of the workers");
    for (std::size_t index = 0; index < 3; index++)
        site.worker(index).failsEverything = false;
    site.run(Seconds(600));
    BOOST_TEST(site.allEnded());
    BOOST_TEST(site.failedStartCount <= 60);
    for (int index = 0; index < 100; index++)
        site.submit(
            makeJob("again-" + std::to_string(index), "a", Priority::Normal, { 8, 16, 0 }), { 8, 16, 0 }, Seconds(100));
    site.run(Seconds(30));
    BOOST_TEST(site.taskCountOn(0) + site.taskCountOn(1) > 0U);
}

BOOST_AUTO_TEST_CASE(learnedSizesLetMoreTasksRunThanDeclaredSizes)
{
    FakeSite site(PlacementProfile::workshop(), 1, 10, brnoWorker);
    site.setTeams({ makeTeam("a", 1, 1000) });
    for (int index = 0; index < 400; index++)
        site.submit(
            makeJob("job-" + std::to_string(index), "a", Priority::Normal, { 16, 64, 0 }), { 4, 16, 0 }, Seconds(30));
    site.run(Seconds(15));
    BOOST_TEST(site.runningCount() == 20U);
    site.run(Seconds(45));
    BOOST_TEST(site.runningCount() == 80U);
}

BOOST_AUTO_TEST_CASE(drainingWorkersFinishTheirTasksWithoutLosingWork)
{
    FakeSite site(PlacementProfile::workshop(), 1, 10, brnoWorker);
    site.setTeams({ makeTeam("a", 1, 1000) });
    fillWithBatch(site, "a", 20);
    std::size_t busy = 0;
    while (site.taskCountOn(busy) == 0)
        busy++;
    site.drain(busy, true);
    site.run(Seconds(10));
    BOOST_TEST(site.taskCountOn(busy) == 0U);
    BOOST_TEST(site.runningCount() == 20U);
    expectNoViolations(site, 1);
}

BOOST_AUTO_TEST_CASE(everyInvariantHoldsUnderFailures)
{
    for (unsigned seed = 1; seed <= 20; seed++) {
        std::mt19937 random(seed);
        auto pick = [&](int low, int high) { return std::uniform_int_distribution<>(low, high)(random); };
        FakeSite site(seed % 2 == 0 ? PlacementProfile::workshop() : PlacementProfile::yard(), seed, 20, brnoWorker);
        site.setTeams({ makeTeam("a", 1, 30), makeTeam("b", 2, 20), makeTeam("c", 3, 1000) });
        int next = 0;
        for (int second = 0; second < 300; second++) {
            for (int count = pick(0, 8); count > 0; count--) {
                const char* teams[] = { "a", "b", "c" };
                auto job = makeJob("job-" + std::to_string(next++), teams[pick(0, 2)],
                    static_cast<Priority>(pick(0, 2)), { double(pick(1, 16)), double(pick(1, 64)), 0 });
                job.kind = "kind-" + std::to_string(pick(0, 3));
                job.idempotent = pick(0, 1) == 0;
                job.canCheckpoint = pick(0, 3) != 0;
                Resources actual { job.declared.processors * pick(2, 15) / 10,
                    job.declared.memoryGigabytes * pick(2, 20) / 10, 0 };
                site.submit(job, actual, Seconds(pick(1, 60))).neverStarts = pick(0, 50) == 0;
            }
            auto index = static_cast<std::size_t>(pick(0, 19));
            if (pick(0, 9) == 0)
                site.worker(index).cutUntil = site.instant() + Seconds(pick(1, 40));
            if (pick(0, 29) == 0)
                site.worker(index).failsEverything = !site.worker(index).failsEverything;
            if (pick(0, 29) == 0)
                site.drain(index, !site.worker(index).record.isDraining);
            if (pick(0, 59) == 0)
                site.reboot(index);
            if (pick(0, 19) == 0) {
                std::vector<JobId> wave;
                for (int id = std::max(0, next - 60); id < next; id += 2)
                    wave.emplace_back("job-" + std::to_string(id));
                site.cancel(wave);
            }
            site.run(Seconds(1));
        }
        for (std::size_t index = 0; index < site.workerCount(); index++) {
            site.worker(index).failsEverything = false;
            site.worker(index).cutUntil = Instant::min();
            site.drain(index, false);
        }
        site.run(Seconds(900));
        expectNoViolations(site, seed);
        BOOST_TEST(site.allEnded(), "seed " << seed);
        BOOST_TEST(site.runningCount() == 0U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
