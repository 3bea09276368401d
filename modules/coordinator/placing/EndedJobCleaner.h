#pragma once

#include <coordinator/leadership/Leadership.h>
#include <coordinator/placing/EndedJob.h>
#include <core/time/UnixClock.h>

#include <algorithm>
#include <memory>

namespace Greengage {

/// Removes the records of ended jobs from the store once their retention time has passed.
template <SharedStore Store> class EndedJobCleaner {
public:
    /// The longest period between listings of the ended jobs. A listing takes several calls.
    static constexpr Milliseconds maxPeriod { 30'000 };

    EndedJobCleaner(Store& store, Leadership<Store>& leadership, Milliseconds retention, Instant now)
        : store(store)
        , leadership(leadership)
        , retention(retention)
        , period(std::min(retention, maxPeriod))
        , nextListing(Deadline::after(now, this->period))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~EndedJobCleaner() { *this->alive = false; }

    EndedJobCleaner(const EndedJobCleaner&) = delete;
    EndedJobCleaner& operator=(const EndedJobCleaner&) = delete;

    /// Ignores all answers that arrive from now on.
    void close() { *this->alive = false; }

    void tick(Instant now)
    {
        if (!this->nextListing.hasPassed(now))
            return;
        this->nextListing = Deadline::after(now, this->period);
        this->store.list(StoreKeys::ended, [this, alive = this->alive](auto result) {
            if (*alive && result.has_value() && this->leadership.isLeader())
                this->removeOld(result.value());
        });
    }

private:
    void removeOld(const KvListing& listing)
    {
        std::int64_t oldest = unixMilliseconds() - this->retention.count();
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
        // There may be more, so the next tick lists again.
        if (commit.rows() == KvCommit::maxRows)
            this->nextListing = Deadline();
        this->store.commit(std::move(commit), [](auto result) {
            if (!result.has_value())
                writeLog(LogLevel::Warning, LogLine("ended_jobs_not_removed").add("reason", nameOf(result.error())));
        });
    }

    Store& store;
    Leadership<Store>& leadership;
    Milliseconds retention;
    Milliseconds period;
    Deadline nextListing;
    std::shared_ptr<bool> alive;
};

} // namespace Greengage
