#include <fleet/placement/model/Job.h>
#include <fleet/placement/systems/SizeLearner.h>

namespace Greengage {

namespace {

double ratioOf(double actual, double declared) { return declared > 0 ? actual / declared : 1.0; }

} // namespace

void SizeLearner::learnSize(const Job& job, const Resources& peakUsage)
{
    auto& history = this->histories[{ job.team, job.kind }];
    history.processors.add(ratioOf(peakUsage.processors, job.declared.processors), this->quantile);
    history.memory.add(ratioOf(peakUsage.memoryGigabytes, job.declared.memoryGigabytes), this->quantile);
}

void SizeLearner::learnRunTime(const Job& job, Microseconds runTime)
{
    auto declared = std::chrono::duration<double>(job.declaredRunTime).count();
    auto actual = std::chrono::duration<double>(runTime).count();
    this->histories[{ job.team, job.kind }].runTime.add(ratioOf(actual, declared), this->quantile);
}

const KindHistory* SizeLearner::find(const Job& job) const
{
    auto found = this->histories.find({ job.team, job.kind });
    return found == this->histories.end() ? nullptr : &found->second;
}

Resources SizeLearner::estimate(const Job& job) const
{
    const auto* history = this->find(job);
    if (!history)
        return job.declared;
    return job.declared.scaledBy({ history->processors.factor(), history->memory.factor(), 1.0 });
}

Microseconds SizeLearner::expectedRunTime(const Job& job) const
{
    const auto* history = this->find(job);
    const double factor = history ? history->runTime.factor() : 1.0;
    return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(job.declaredRunTime) * factor);
}

} // namespace Greengage
