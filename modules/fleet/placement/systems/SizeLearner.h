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

/// Learns how far the declarations of each team and kind of job are off.
class SizeLearner {
public:
    explicit SizeLearner(double quantile)
        : quantile(quantile)
    {
    }

    /// What has been seen of jobs like this one; it stays where it is for good.
    KindHistory& historyOf(const Job&);

    void learnSize(KindHistory&, const Job&, const Resources& peakUsage) const;
    void learnRunTime(KindHistory&, const Job&, Microseconds) const;

    /// What to reserve for the job. Accelerators are taken as declared.
    static Resources estimate(const KindHistory&, const Job&);
    static Microseconds expectedRunTime(const KindHistory&, const Job&);

private:
    double quantile;
    std::map<std::pair<TeamId, std::string>, KindHistory> histories;
};

} // namespace Greengage
