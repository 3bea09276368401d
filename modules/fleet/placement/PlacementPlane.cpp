#include <config/model/Document.h>
#include <fleet/placement/PlacementPlane.h>
#include <fleet/placement/systems/HealthSystem.h>
#include <fleet/placement/systems/PlaceSystem.h>
#include <fleet/placement/systems/PlacementTables.h>
#include <fleet/placement/systems/PreemptSystem.h>
#include <fleet/placement/systems/ReportSystem.h>

namespace Greengage {

namespace {

/// How often all attempts and waiting jobs are reviewed.
constexpr Seconds reviewInterval(1);

} // namespace

class PlacementPlane::Implementation {
public:
    explicit Implementation(const PlacementProfile& profile)
        : tables(profile)
    {
    }

    std::vector<PlacementOutput> tick(Instant now, const std::vector<PlacementInput>& inputs)
    {
        this->tables.now = now;
        this->tables.outputs.clear();
        for (const auto& input : inputs)
            std::visit([this](const auto& message) { this->apply(message); }, input);
        this->runSystems();
        return std::move(this->tables.outputs);
    }

private:
    void runSystems()
    {
        const auto& profile = this->tables.profile;
        if (this->tables.now >= this->nextReviewAt) {
            this->nextReviewAt = this->tables.now + reviewInterval;
            expireLeases(this->tables);
            probeWorkers(this->tables);
            refuseImpossibleJobs(this->tables);
        }
        if (profile.checkpointsOnDrain)
            drainWorkers(this->tables);
        this->tables.teams.refreshShares(this->tables.workers.total(), profile.borrows);
        sendAwaiting(this->tables);
        placeJobs(this->tables);
        if (profile.preemptsForUrgent)
            preemptForUrgent(this->tables);
        if (profile.preemptsForShares)
            preemptForShares(this->tables);
    }

    void apply(const DocumentApplied& applied)
    {
        if (applied.document->revision <= this->documentRevision)
            return;
        this->documentRevision = applied.document->revision;
        this->tables.teams.apply(applied.document->teams);
    }

    void apply(const WorkersListed& listed)
    {
        for (const auto& worker : this->tables.workers.apply(listed.workers))
            applyBoot(this->tables, worker);
    }

    void apply(const JobSubmitted& submitted)
    {
        const auto& job = submitted.job;
        if (this->tables.jobs.count(job.id) != 0)
            return;
        if (!this->tables.teams.isKnown(job.team)) {
            this->tables.outputs.emplace_back(JobEnded { job.id, JobOutcome::UnknownTeam, job.team.string() });
            return;
        }
        auto& entry = this->tables.jobs[job.id];
        entry.job = job;
        entry.history = &this->tables.learner.historyOf(job);
        entry.arrival = this->tables.nextArrival++;
        this->tables.enqueue(entry);
    }

    void apply(const JobsCancelled& cancelled)
    {
        for (const auto& job : cancelled.jobs)
            this->tables.endJob(job, JobOutcome::Cancelled, {});
    }

    void apply(const AttemptReported& report) { applyReport(this->tables, report); }

    PlacementTables tables;
    Instant nextReviewAt = Instant::min();
    std::uint64_t documentRevision = 0;
};

PlacementPlane::PlacementPlane(PlacementProfile profile)
    : implementation(std::make_unique<Implementation>(profile))
{
}

PlacementPlane::~PlacementPlane() = default;

std::vector<PlacementOutput> PlacementPlane::tick(Instant now, std::vector<PlacementInput> inputs)
{
    return this->implementation->tick(now, inputs);
}

} // namespace Greengage
