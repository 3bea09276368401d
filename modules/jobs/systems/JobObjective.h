#pragma once

#include <cstdint>

namespace Greengage {

struct JobRow;
struct QueuePolicy;

/// The time by which a job has to end to be on time, and the estimate of its remaining work.
class JobObjective {
public:
    JobObjective(const JobRow&, const QueuePolicy&);

    /// The latest time of day at which the remaining work can start and still end on time.
    std::int64_t latestStartUnixMs() const { return this->deadlineUnixMs - this->remainingMs; }

    bool canBeOnTime(std::int64_t nowUnixMs) const { return nowUnixMs <= this->latestStartUnixMs(); }

private:
    std::int64_t deadlineUnixMs = 0;
    std::int64_t remainingMs = 0;
};

} // namespace Greengage
