#pragma once

#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/EndedJob.h>
#include <core/time/UnixClock.h>

#include <algorithm>
#include <memory>

namespace Greengage {

/// Removes the ends of jobs from the store once callers need not be able to ask for them any more.
template <SharedStore Store> class EndedJobCleaner {
public:
    /// The ends are read this often at most, since reading them all takes several calls.
    static constexpr Milliseconds longestPeriod { 30'000 };

    EndedJobCleaner(Store& store, Leadership<Store>& leadership, Milliseconds keepFor, Instant now)
        : store(store)
        , leadership(leadership)
        , keepFor(keepFor)
        , period(std::min(keepFor, longestPeriod))
        , next(Deadline::after(now, this->period))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~EndedJobCleaner() { *this->alive = false; }

    EndedJobCleaner(const EndedJobCleaner&) = delete;
    EndedJobCleaner& operator=(const EndedJobCleaner&) = delete;

    /// From now on answers that are still to come change nothing.
    void close() { *this->alive = false; }

    void tick(Instant now)
    {
        if (!this->next.hasPassed(now))
            return;
        this->next = Deadline::after(now, this->period);
        this->store.list(StoreKeys::ended, [this, alive = this->alive](auto result) {
            if (*alive && result.has_value() && this->leadership.isHolder())
                this->removeOld(result.value());
        });
    }

private:
    void removeOld(const KvListing& listing)
    {
        std::int64_t oldest = unixMilliseconds() - this->keepFor.count();
        KvCommit commit { { this->leadership.condition() }, {}, {} };
        for (const auto& item : listing.items) {
            auto ended = EndedJob::decode(item.value);
            if (ended && ended->endedUnixMs < oldest)
                commit.removals.push_back(item.key);
            if (commit.rows() == KvCommit::maxRows)
                break;
        }
        if (commit.removals.empty())
            return;
        // There may be more, so the next look comes soon.
        if (commit.rows() == KvCommit::maxRows)
            this->next = Deadline();
        this->store.commit(std::move(commit), [](auto result) {
            if (!result.has_value())
                writeLog(LogLevel::Warning, LogLine("ended_jobs_not_removed").add("reason", nameOf(result.error())));
        });
    }

    Store& store;
    Leadership<Store>& leadership;
    Milliseconds keepFor;
    Milliseconds period;
    Deadline next;
    std::shared_ptr<bool> alive;
};

} // namespace Greengage
