#pragma once

#include <config/acceptance/DocumentAcceptance.h>
#include <config/acceptance/DocumentSubmission.h>
#include <core/time/Deadline.h>
#include <daemon/admin/SubmissionOutcome.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Greengage {

class StoreClient;
struct StoreError;

/// Stores one submission: reads the stored record, evaluates the submission against it, and writes the history entry
/// and then the record by compare-and-swap. It starts over when another change was stored in between or when the answer
/// to a write was lost. The change id in the record shows whether an earlier write took effect.
class DocumentSubmitter {
public:
    using OnFinished = std::function<void(SubmissionOutcome)>;

    /// `onFinished` is called exactly once, from the event loop. It must not destroy the submitter.
    DocumentSubmitter(event_base&, StoreClient&, DocumentSubmission, OnFinished onFinished);

    DocumentSubmitter(const DocumentSubmitter&) = delete;
    DocumentSubmitter& operator=(const DocumentSubmitter&) = delete;

    /// Makes the submission end with a conflict unless its base is the newest revision.
    void requireNewestBase() { this->newestBaseRequired = true; }

    void start() { this->readRecord(); }

    bool isFinished() const { return !this->onFinished; }

private:
    void readRecord();
    void readBase(const std::string& changeId);
    void evaluate(const std::string& baseText);
    void writeHistory(std::uint64_t expectedVersion);
    void writeRecord();
    void handleFailure(const StoreError&, bool isRecordWrite);
    void finish(SubmissionOutcome);

    StoreClient& store;
    DocumentSubmission submission;
    OnFinished onFinished;
    Deadline giveUpAt;
    DocumentRecord current;
    std::uint64_t currentVersion = 0;
    DocumentRecord accepted;
    /// Whether a write of the record was sent and its answer was lost, so that it may have taken effect.
    bool mayBeWritten = false;
    bool newestBaseRequired = false;
    Timer retry;
};

} // namespace Greengage
