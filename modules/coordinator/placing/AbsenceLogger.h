#pragma once

#include <core/time/Deadline.h>
#include <jobs/systems/AbsenceMonitor.h>

#include <cstddef>

namespace Greengage {

class JobTables;

/// Logs long-running tasks that are not at work. The lines are warnings, since informational ones are dropped under
/// load.
class AbsenceLogger {
public:
    explicit AbsenceLogger(const JobTables& tables)
        : monitor(tables)
    {
    }

    /// Once a second, logs at most `maxLines` absent tasks, and how many there are.
    void tick(Instant now);

private:
    static constexpr Milliseconds period { 1000 };
    static constexpr std::size_t maxLines = 8;

    AbsenceMonitor monitor;
    Deadline nextCheck;
};

} // namespace Greengage
