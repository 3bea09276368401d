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

    void learnSize(const Job&, const Resources& peakUsage);
    void learnRunTime(const Job&, Microseconds);

    /// What to reserve for the job. Accelerators are taken as declared.
    Resources estimate(const Job&) const;
    Microseconds expectedRunTime(const Job&) const;

private:
    const KindHistory* find(const Job&) const;

    double quantile;
    std::map<std::pair<TeamId, std::string>, KindHistory> histories;
};

} // namespace Greengage
