#pragma once

#include <config/acceptance/DocumentAcceptance.h>
#include <config/acceptance/DocumentSubmission.h>
#include <core/time/Deadline.h>
#include <daemon/admin/SubmissionEnd.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Greengage {

class StoreClient;
struct StoreError;

/// Puts one submission in the store: reads the record, judges, writes the history and then the record by
/// compare-and-swap, and begins again where another change came between or an answer was lost. The change id in the
/// record tells whether an earlier write took effect.
class DocumentSubmitter {
public:
    using Finished = std::function<void(SubmissionEnd)>;

    /// `finished` is called exactly once, from the loop. It must not destroy the submitter.
    DocumentSubmitter(event_base&, StoreClient&, DocumentSubmission, Finished finished);

    DocumentSubmitter(const DocumentSubmitter&) = delete;
    DocumentSubmitter& operator=(const DocumentSubmitter&) = delete;

    /// Gives up, as after a conflict, unless the submission's base is the newest revision.
    void requireNewestBase() { this->newestBaseRequired = true; }

    void start() { this->readRecord(); }

    bool isFinished() const { return !this->finished; }

private:
    void readRecord();
    void readBase(const std::string& changeId);
    void judge(const std::string& baseText);
    void writeHistory(std::uint64_t expectedVersion);
    void writeRecord();
    void handleFailure(const StoreError&, bool isRecordWrite);
    void finish(SubmissionEnd);

    StoreClient& store;
    DocumentSubmission submission;
    Finished finished;
    Deadline giveUpAt;
    DocumentRecord current;
    std::uint64_t currentVersion = 0;
    DocumentRecord accepted;
    /// Whether a write of the record has been sent whose answer did not come.
    bool mayBeWritten = false;
    bool newestBaseRequired = false;
    Timer retry;
};

} // namespace Greengage
