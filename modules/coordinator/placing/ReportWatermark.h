#pragma once

#include <core/text/Identifier.h>

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace Greengage {

class JobTables;

/// Decides up to which end workers may forget what they reported: all changes that these ends have caused are stored.
/// Each round notes the ends that have been applied and the jobs whose changes are not stored yet. It is complete when
/// each of these jobs has been stored by a write that began after its last change.
class ReportWatermark {
public:
    explicit ReportWatermark(JobTables& tables)
        : tables(tables)
    {
    }

    /// Whether a round has begun that is not complete.
    bool isUnderWay() const { return this->hasBegun; }

    /// Begins a round with the ends that have been applied by now. `underWay` are the jobs of which a write is under
    /// way.
    void begin(const std::set<JobId>& unsaved, const std::vector<JobId>& underWay);

    /// A write that holds all changes of the job has begun.
    void beginWrite(const JobId&);
    /// The write of the job that was under way has been stored.
    void endWrite(const JobId&);
    /// The write of the job that was under way has not been stored, or may not have been.
    void repeatWrite(const JobId&);
    /// The job does not exist any more.
    void remove(const JobId&);

    /// Ends the round if it is complete: workers may forget the ends that it covers. Returns whether it was complete.
    bool advance();

private:
    enum class Phase {
        /// No write that holds the job's changes has begun.
        Unsaved,
        UnderWay,
    };

    /// The ends that one incarnation of a worker had reported when the round began. A later incarnation numbers its own
    /// ends from 1.
    struct AppliedEnds {
        std::int64_t incarnationUnixMs = 0;
        std::uint64_t number = 0;
    };

    JobTables& tables;
    bool hasBegun = false;
    std::unordered_map<JobId, Phase> jobs;
    std::unordered_map<WorkerId, AppliedEnds> appliedEnds;
};

} // namespace Greengage
