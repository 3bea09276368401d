#include <fleet/placement/model/Job.h>
#include <fleet/placement/systems/SizeLearner.h>

namespace Greengage {

namespace {

double ratioOf(double actual, double declared) { return declared > 0 ? actual / declared : 1.0; }

} // namespace

KindHistory& SizeLearner::historyOf(const Job& job) { return this->histories[{ job.team, job.kind }]; }

void SizeLearner::learnSize(KindHistory& history, const Job& job, const Resources& peakUsage) const
{
    history.processors.add(ratioOf(peakUsage.processors, job.declared.processors), this->quantile);
    history.memory.add(ratioOf(peakUsage.memoryGigabytes, job.declared.memoryGigabytes), this->quantile);
}

void SizeLearner::learnRunTime(KindHistory& history, const Job& job, Microseconds runTime) const
{
    auto declared = std::chrono::duration<double>(job.declaredRunTime).count();
    auto actual = std::chrono::duration<double>(runTime).count();
    history.runTime.add(ratioOf(actual, declared), this->quantile);
}

Resources SizeLearner::estimate(const KindHistory& history, const Job& job)
{
    return job.declared.scaledBy({ history.processors.factor(), history.memory.factor(), 1.0 });
}

Microseconds SizeLearner::expectedRunTime(const KindHistory& history, const Job& job)
{
    const auto declared = std::chrono::duration<double>(job.declaredRunTime);
    return std::chrono::duration_cast<Microseconds>(declared * history.runTime.factor());
}

} // namespace Greengage
