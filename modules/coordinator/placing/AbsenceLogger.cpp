#include <coordinator/placing/AbsenceLogger.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/UnixClock.h>

#include <algorithm>

namespace Greengage {

namespace {

std::int64_t ageMs(Instant since, Instant now) { return std::chrono::duration_cast<Milliseconds>(now - since).count(); }

} // namespace

void AbsenceLogger::tick(Instant now)
{
    if (!this->nextCheck.hasPassed(now))
        return;
    this->nextCheck = Deadline::after(now, period);
    auto absences = this->monitor.check(now, unixMilliseconds());
    if (absences.empty())
        return;
    std::size_t lines = std::min(maxLines, absences.size());
    for (std::size_t index = 0; index < lines; ++index) {
        const TaskAbsence& absence = absences[index];
        writeLog(LogLevel::Warning,
            LogLine("long_running_absent")
                .add("task", absence.task.text())
                .add("reason", nameOf(absence.reason))
                .add("for_ms", ageMs(absence.since, now))
                .add("worker", absence.worker.string())
                .add("order_age_ms", absence.orderedAt ? ageMs(*absence.orderedAt, now) : -1));
    }
    writeLog(LogLevel::Warning, LogLine("long_running_absences").add("tasks", absences.size()).add("named", lines));
}

} // namespace Greengage
