#include <daemon/admin/DocumentSubmitter.h>

#include <config/document/DocumentCodec.h>
#include <core/time/BootClock.h>
#include <store/store/StoreClient.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreWrite.h>

#include <chrono>

namespace Greengage {

namespace {

constexpr const char* documentKey = "config/document";
constexpr const char* historyPrefix = "config/history/";
constexpr Milliseconds submissionTimeout { 6000 };
constexpr Milliseconds retryDelay { 100 };

std::int64_t unixMilliseconds()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
}

} // namespace

DocumentSubmitter::DocumentSubmitter(
    event_base& base, StoreClient& store, DocumentSubmission submission, OnFinished onFinished)
    : store(store)
    , submission(std::move(submission))
    , onFinished(std::move(onFinished))
    , giveUpAt(Deadline::after(BootClock::now(), submissionTimeout))
    , retry(base, [this] { this->readRecord(); })
{
}

void DocumentSubmitter::readRecord()
{
    this->store.read(documentKey, [this](Result<StoreEntry, StoreError> entry) {
        this->current = {};
        this->currentVersion = 0;
        if (entry.has_value()) {
            auto record = DocumentCodec::decode(entry.value().value);
            if (!record.has_value()) {
                this->finish(
                    ConfigErrors { { { "", "", 0, "the stored record is malformed: " + record.error().message } } });
                return;
            }
            this->current = std::move(record.value());
            this->currentVersion = entry.value().version;
        } else if (entry.error().code != StoreErrorCode::NotFound) {
            this->handleFailure(entry.error(), false);
            return;
        }
        if (this->newestBaseRequired && this->current.revision != this->submission.baseRevision) {
            this->finish(SectionConflicts {});
            return;
        }
        auto base = DocumentAcceptance::baseChange(this->current, this->submission);
        if (base)
            this->readBase(*base);
        else
            this->evaluate("");
    });
}

void DocumentSubmitter::readBase(const std::string& changeId)
{
    this->store.read(historyPrefix + changeId, [this](Result<StoreEntry, StoreError> entry) {
        if (entry.has_value())
            this->evaluate(entry.value().value);
        else if (entry.error().code == StoreErrorCode::NotFound)
            this->finish(ConfigErrors { { { "", "", 0,
                "the text of the base revision is no longer stored; start from the newest revision" } } });
        else
            this->handleFailure(entry.error(), false);
    });
}

void DocumentSubmitter::evaluate(const std::string& baseText)
{
    AcceptanceOutcome outcome
        = DocumentAcceptance::evaluate(this->current, baseText, this->submission, unixMilliseconds());
    if (auto* change = std::get_if<AcceptedChange>(&outcome)) {
        this->accepted = std::move(change->record);
        this->writeHistory(0);
    } else if (auto* existing = std::get_if<AlreadyInForce>(&outcome))
        this->finish(*existing);
    else if (auto* conflicts = std::get_if<SectionConflicts>(&outcome))
        this->finish(std::move(*conflicts));
    else
        this->finish(std::get<ConfigErrors>(std::move(outcome)));
}

/// Replaces the text that an earlier attempt may have stored under the same change id.
void DocumentSubmitter::writeHistory(std::uint64_t expectedVersion)
{
    StoreWrite write { historyPrefix + this->submission.changeId, this->accepted.text, expectedVersion, "" };
    this->store.write(write, [this, expectedVersion](Result<std::uint64_t, StoreError> written) {
        if (written.has_value())
            this->writeRecord();
        else if (written.error().code == StoreErrorCode::Conflict && expectedVersion != written.error().currentVersion)
            this->writeHistory(written.error().currentVersion);
        else
            this->handleFailure(written.error(), false);
    });
}

void DocumentSubmitter::writeRecord()
{
    StoreWrite write { documentKey, DocumentCodec::encode(this->accepted), this->currentVersion, "" };
    this->store.write(write, [this](Result<std::uint64_t, StoreError> written) {
        if (written.has_value())
            this->finish(std::move(this->accepted));
        else
            this->handleFailure(written.error(), true);
    });
}

void DocumentSubmitter::handleFailure(const StoreError& error, bool isRecordWrite)
{
    bool mayHaveTakenEffect = error.code == StoreErrorCode::AnswerLost || error.code == StoreErrorCode::Malformed;
    this->mayBeWritten = this->mayBeWritten || (isRecordWrite && mayHaveTakenEffect);
    if (this->giveUpAt.hasPassed(BootClock::now()))
        this->finish(this->mayBeWritten ? SubmissionFailure::Unknown : SubmissionFailure::NotAccepted);
    else
        this->retry.schedule(retryDelay);
}

void DocumentSubmitter::finish(SubmissionOutcome outcome)
{
    OnFinished callback = std::move(this->onFinished);
    this->onFinished = nullptr;
    callback(std::move(outcome));
}

} // namespace Greengage
