#pragma once

#include <cstdint>

namespace Greengage {

struct JobRow;
struct QueuePolicy;

/// When a job has to end to be on time, and what work still lies before it.
class JobObjective {
public:
    JobObjective(const JobRow&, const QueuePolicy&);

    /// The latest time of day at which the remaining work can start and still end on time.
    std::int64_t latestStartUnixMs() const { return this->onTimeByUnixMs - this->remainingMs; }

    bool canBeOnTime(std::int64_t nowUnixMs) const { return nowUnixMs <= this->latestStartUnixMs(); }

private:
    std::int64_t onTimeByUnixMs = 0;
    std::int64_t remainingMs = 0;
};

} // namespace Greengage
