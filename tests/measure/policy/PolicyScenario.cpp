#include "PolicyScenario.h"

#include <algorithm>
#include <cmath>

namespace Greengage {

namespace {

constexpr int teamCount = 6;
constexpr double teamShares[teamCount] = { 3, 3, 1, 1, 2, 2 };
constexpr int firstBatchTeam = 4;
constexpr int waveStartSecond = 300;
constexpr int lastSecond = 3 * 3600;
constexpr int burstSeconds = 10;
constexpr double burstFactor = 5.0;
constexpr double quietFactor = 0.05;
constexpr std::size_t batchBacklog = 200;
constexpr int urgentIntervalSeconds = 7;
constexpr Milliseconds urgentBound(4200);
constexpr int faultyWorkers = 2;

std::string teamName(int team) { return "team-" + std::to_string(team); }

/// Divides 1.0 among the teams in proportion to their shares; no team gets more than it wants.
std::map<TeamId, double> divideByShare(const std::vector<Team>& teams, const std::map<TeamId, double>& wanted)
{
    std::map<TeamId, double> divided;
    double remaining = 1.0;
    auto open = teams;
    while (!open.empty() && remaining > 1e-9) {
        double weights = 0;
        for (const auto& team : open)
            weights += team.share;
        auto isSatisfied = [&](const Team& team) { return wanted.at(team.name) <= remaining * team.share / weights; };
        auto satisfied = std::find_if(open.begin(), open.end(), isSatisfied);
        if (satisfied == open.end()) {
            for (const auto& team : open)
                divided[team.name] = remaining * team.share / weights;
            return divided;
        }
        divided[satisfied->name] = wanted.at(satisfied->name);
        remaining -= wanted.at(satisfied->name);
        open.erase(satisfied);
    }
    return divided;
}

} // namespace

PolicyScenario::PolicyScenario(const SiteKind& kind, const PolicyVariant& variant, unsigned seed)
    : kind(kind)
    , variant(variant)
    , random(seed)
    , site(variant.profile, seed, kind.workers, kind.capacity)
{
    this->setTeams();
    for (int index = 0; index < faultyWorkers; index++)
        this->site.worker(static_cast<std::size_t>(this->drawInteger(0, kind.workers - 1))).failsEverything = true;
    for (int index = 0; index < variant.idleSpares; index++)
        this->site.drain(static_cast<std::size_t>(index), true);
    this->site.checkInterval = 10;
}

void PolicyScenario::setTeams()
{
    for (int index = 0; index < teamCount; index++) {
        Team team;
        team.name = TeamId(teamName(index));
        team.share = teamShares[index];
        team.limit = 400;
        this->teams.push_back(team);
    }
    this->site.setTeams(this->teams);
}

void PolicyScenario::submitJob(int team, Priority priority, int minSeconds, int maxSeconds)
{
    Job job;
    job.id = JobId("job-" + std::to_string(this->nextJob++));
    job.team = TeamId(teamName(team));
    job.priority = priority;
    job.idempotent = this->drawInteger(0, 1) == 0;
    job.canCheckpoint = priority == Priority::Batch || this->drawInteger(0, 1) == 0;
    job.kind = std::string(nameOf(priority)) + std::to_string(this->drawInteger(0, 1));
    Resources actual;
    actual.processors = this->drawInteger(1, this->kind.largestJob);
    actual.memoryGigabytes = actual.processors * this->drawReal(1.5, 4.0);
    auto [found, isNew] = this->declaredFactors.try_emplace(job.team.string() + job.kind, 0);
    if (isNew)
        found->second = this->drawReal(0.7, 4.0);
    const double factor = found->second * this->drawReal(0.8, 1.25);
    job.declared = { std::min(actual.processors * factor, this->kind.capacity.processors),
        std::min(actual.memoryGigabytes * factor, this->kind.capacity.memoryGigabytes), 0 };
    if (this->drawInteger(0, 199) == 0)
        job.declared.accelerators = 1;
    const int seconds = this->drawInteger(minSeconds, maxSeconds);
    job.declaredRunTime = Seconds(std::max(1, static_cast<int>(seconds * this->drawReal(0.3, 3.0))));
    this->site.submit(job, actual, Seconds(seconds));
}

void PolicyScenario::submitJobsOfSecond(int second)
{
    const int burstingTeam = second / burstSeconds % teamCount;
    for (int team = 0; team < teamCount; team++) {
        const double mean = this->kind.jobsPerSecond * teamShares[team] / 12.0;
        const double rate = mean * (team == burstingTeam ? burstFactor : quietFactor);
        for (int count = std::poisson_distribution<>(rate)(this->random); count > 0; count--)
            this->submitJob(team, Priority::Normal, 5, 30);
    }
    if (second % urgentIntervalSeconds == 0)
        this->submitJob(this->drawInteger(0, 1), Priority::Urgent, 5, 20);
    for (int team = firstBatchTeam; team < teamCount; team++) {
        const auto open = this->site.openCount(TeamId(teamName(team)), Priority::Batch);
        for (auto count = open; count < batchBacklog; count++)
            this->submitJob(team, Priority::Batch, 120, 400);
    }
}

void PolicyScenario::sampleShares()
{
    std::map<TeamId, double> wanted;
    double wantedSum = 0;
    double usedSum = 0;
    const Resources total { this->kind.capacity.processors * this->kind.workers,
        this->kind.capacity.memoryGigabytes * this->kind.workers, 0 };
    auto demands = this->site.demands();
    for (const auto& team : this->teams) {
        wanted[team.name] = demands[team.name].dominantShareOf(total);
        wantedSum += wanted[team.name];
        usedSum += this->site.usageOf(team.name);
    }
    this->utilisationSum += usedSum;
    this->utilisationCount++;
    if (wantedSum < 1.0 || usedSum <= 0)
        return;
    // Only resources in use are divided, so that idle or broken workers count against no team.
    for (auto& [team, part] : wanted)
        part /= usedSum;
    const auto entitled = divideByShare(this->teams, wanted);
    double distance = 0;
    for (const auto& team : this->teams) {
        auto share = entitled.find(team.name);
        const double entitledShare = share == entitled.end() ? 0 : share->second;
        distance += std::abs(this->site.usageOf(team.name) / usedSum - entitledShare);
    }
    this->distanceSum += distance / teamCount;
    this->distanceCount++;
}

void PolicyScenario::sampleWave(WaveRunner& wave)
{
    const auto outOfUse = std::max(wave.outOfServiceCount(), static_cast<std::size_t>(this->variant.idleSpares));
    this->figures.bufferHours += static_cast<double>(outOfUse) / 3600.0;
    this->figures.rollOutSeconds += 1;
}

void PolicyScenario::collectJobFigures()
{
    std::vector<double> waits;
    for (const auto& [id, job] : this->site.allJobs()) {
        if (job.job.priority == Priority::Batch && job.outcome == JobOutcome::Completed)
            this->figures.batchCompleted += 1;
        if (job.job.priority != Priority::Urgent || job.outcome == JobOutcome::NeverFits)
            continue;
        const bool isNew = job.submittedAt + urgentBound > this->site.instant();
        if (job.startedAt)
            waits.push_back(std::chrono::duration<double>(*job.startedAt - job.submittedAt).count());
        else if (!isNew && !job.outcome)
            this->figures.urgentNotStarted += 1;
    }
    std::sort(waits.begin(), waits.end());
    if (waits.empty())
        return;
    this->figures.urgentMedianSeconds = waits[waits.size() / 2];
    this->figures.urgentWorstSeconds = waits.back();
}

PolicyFigures PolicyScenario::run()
{
    WaveRunner wave(this->site, this->kind.zones, this->variant.wave, 1);
    this->figures.rollOutBoundSeconds = static_cast<double>(wave.lowerBound().count());
    for (int second = 0; second < lastSecond && !wave.isDone(); second++) {
        this->submitJobsOfSecond(second);
        this->site.run(Seconds(1));
        if (second >= waveStartSecond) {
            wave.tick();
            this->sampleWave(wave);
        }
        this->sampleShares();
    }
    this->figures.isWaveDone = wave.isDone();
    this->figures.moves = static_cast<double>(this->variant.movesPerVm) * this->kind.workers;
    this->figures.shareDistancePercent = 100.0 * this->distanceSum / std::max(1, this->distanceCount);
    this->figures.utilisationPercent = 100.0 * this->utilisationSum / std::max(1, this->utilisationCount);
    this->figures.failedStarts = this->site.failedStartCount;
    this->figures.checkpoints = this->site.checkpointCount;
    this->collectJobFigures();
    return this->figures;
}

} // namespace Greengage
