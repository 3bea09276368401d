#pragma once

#include <coordinator/leadership/StoreKeys.h>
#include <coordinator/placing/EndedJob.h>
#include <coordinator/service/JobRequestOutcome.h>
#include <coordinator/store/SharedStore.h>
#include <core/errors/ErrorBoundary.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/Deadline.h>
#include <jobs/codec/JobRecordCodec.h>
#include <jobs/model/JobState.h>

#include <functional>
#include <memory>
#include <optional>

namespace Greengage {

/// The answer to a query for the state of a job.
struct JobStateAnswer {
    JobRequestOutcome outcome = JobRequestOutcome::Unknown;
    /// Valid only if the outcome is Stored.
    JobState state = JobState::Waiting;
};

/// Serves callers' submissions, cancellations and queries. It needs only the shared store, so every daemon that reaches
/// the store can serve. A job is stored under its id before it is acknowledged, and only if the id is new, so a
/// submission that is repeated, at any daemon, stays one job.
template <SharedStore Store> class JobService {
public:
    using OutcomeCallback = std::function<void(JobRequestOutcome)>;
    using StateCallback = std::function<void(JobStateAnswer)>;

    explicit JobService(Store& store)
        : store(store)
    {
    }

    /// Stores a job. Retries until `deadline` while the outcome is unknown.
    void submit(const JobRecord& record, Deadline deadline, OutcomeCallback callback)
    {
        KvCommit commit;
        commit.expected = { { StoreKeys::job(record.id), 0 }, { StoreKeys::end(record.id), 0 } };
        commit.puts = { { StoreKeys::job(record.id), this->codec.encode(record) } };
        this->commitUntil(record.id, std::move(commit), deadline, false, std::move(callback));
    }

    /// Stores the request to cancel a job. Answers NotStored if the job cannot be read.
    void cancel(const JobId& id, Deadline deadline, OutcomeCallback callback)
    {
        auto onRead = [this, id, deadline, callback = std::move(callback)](auto result) {
            if (!result.has_value()) {
                callback(JobRequestOutcome::NotStored);
                return;
            }
            if (!result.value()) {
                this->findEnd(id, [callback](JobStateAnswer answer) { callback(answer.outcome); });
                return;
            }
            KvCommit commit;
            commit.expected = { { StoreKeys::job(id), result.value()->revision } };
            commit.puts = { { StoreKeys::cancellation(id), "{}" } };
            this->commitUntil(id, std::move(commit), deadline, false, callback);
        };
        this->store.read(StoreKeys::job(id), JobService::forRequest(id, std::move(onRead)));
    }

    /// Reads the state of a job, open or ended.
    void findState(const JobId& id, StateCallback callback)
    {
        auto onListed = [this, id, callback = std::move(callback)](auto result) {
            if (!result.has_value()) {
                callback({ JobRequestOutcome::Unknown });
                return;
            }
            bool isOpen = false;
            JobState state = JobState::Waiting;
            for (const auto& item : result.value().items) {
                if (item.key == StoreKeys::job(id))
                    isOpen = true;
                else if (item.key == StoreKeys::cancellation(id))
                    state = JobState::Cancelled;
                else if (item.key == StoreKeys::progress(id) && state != JobState::Cancelled)
                    state = JobState::Running;
            }
            if (isOpen)
                callback({ JobRequestOutcome::Stored, state });
            else
                this->findEnd(id, callback);
        };
        this->store.list(StoreKeys::job(id), JobService::forRequest(id, std::move(onListed)));
    }

private:
    /// Makes a callback for an answer of the store. An unforeseen error in it ends only the request about this job.
    template <typename Callback> static auto forRequest(const JobId& id, Callback callback)
    {
        return [id, callback = std::move(callback)](auto result) {
            ErrorBoundary::run(
                ErrorEffect::ItemOnly, WorkKind::CallerRequest, id.string(), [&] { callback(std::move(result)); });
        };
    }

    void findEnd(const JobId& id, StateCallback callback)
    {
        auto onRead = [id, callback = std::move(callback)](auto result) {
            if (!result.has_value()) {
                callback({ JobRequestOutcome::Unknown });
                return;
            }
            if (!result.value()) {
                callback({ JobRequestOutcome::NoSuchJob });
                return;
            }
            auto ended = EndedJob::decode(result.value()->value);
            if (!ended) {
                writeLog(LogLevel::Error, LogLine("stored_end_unreadable").add("job", id.string()));
                callback({ JobRequestOutcome::Unknown });
                return;
            }
            callback({ JobRequestOutcome::Stored, ended->state });
        };
        this->store.read(StoreKeys::end(id), JobService::forRequest(id, std::move(onRead)));
    }

    /// `mayBeStored` says that an earlier try got no answer. An expectation that does not hold means that the key
    /// exists: the job was stored by this or an earlier submission, or has ended since.
    void commitUntil(const JobId& id, KvCommit commit, Deadline deadline, bool mayBeStored, OutcomeCallback callback)
    {
        auto onCommitted = [this, id, commit, deadline, mayBeStored, callback = std::move(callback)](auto result) {
            if (result.has_value()) {
                callback(JobRequestOutcome::Stored);
                return;
            }
            bool wasRefused = result.error() == KvFailure::Refused;
            if (wasRefused && !mayBeStored)
                callback(JobRequestOutcome::NotStored);
            else if (wasRefused || deadline.hasPassed(BootClock::now()))
                callback(JobRequestOutcome::Unknown);
            else
                this->commitUntil(id, commit, deadline, true, callback);
        };
        this->store.commit(commit, JobService::forRequest(id, std::move(onCommitted)));
    }

    Store& store;
    JobRecordCodec codec;
};

} // namespace Greengage
