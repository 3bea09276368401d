#pragma once

#include <core/text/Identifier.h>
#include <core/time/Instant.h>
#include <fleet/placement/model/Resources.h>
#include <fleet/placement/systems/KindHistory.h>

#include <map>
#include <string>
#include <utility>

namespace Greengage {

struct Job;

/// Learns the ratio of actual to declared values for each team and kind of job.
class SizeLearner {
public:
    explicit SizeLearner(double quantile)
        : quantile(quantile)
    {
    }

    /// The history of jobs of the same team and kind; the reference stays valid.
    KindHistory& historyOf(const Job&);

    void learnSize(KindHistory&, const Job&, const Resources& peakUsage) const;
    void learnRunTime(KindHistory&, const Job&, Microseconds) const;

    /// The resources to reserve for the job. Accelerators are reserved as declared.
    static Resources estimate(const KindHistory&, const Job&);
    static Microseconds expectedRunTime(const KindHistory&, const Job&);

private:
    double quantile;
    std::map<std::pair<TeamId, std::string>, KindHistory> histories;
};

} // namespace Greengage
