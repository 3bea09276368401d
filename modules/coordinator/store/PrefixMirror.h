#pragma once

#include <coordinator/store/SharedStore.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <loop/timers/Timer.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

namespace Greengage {

/// Follows all keys below one prefix of the shared store: a listing first, then the changes. Lists anew when the store
/// has dropped the history that it needs.
template <SharedStore Store> class PrefixMirror {
public:
    struct Handlers {
        /// A whole listing; keys that are not in it do not exist.
        std::function<void(const KvListing&)> listed;
        /// Changes since, in order; may be none.
        std::function<void(const KvListing&)> changed;
        /// The store has not answered.
        std::function<void(KvFailure)> failed;
    };

    PrefixMirror(event_base& base, Store& store, std::string prefix, Milliseconds wait, Handlers handlers)
        : store(store)
        , prefix(std::move(prefix))
        , wait(wait)
        , handlers(std::move(handlers))
        , timer(base, [this] { this->proceed(); })
        , alive(std::make_shared<bool>(true))
    {
    }

    ~PrefixMirror() { *this->alive = false; }

    PrefixMirror(const PrefixMirror&) = delete;
    PrefixMirror& operator=(const PrefixMirror&) = delete;

    /// From now on nothing is told any more.
    void close()
    {
        *this->alive = false;
        this->timer.cancel();
    }

    void start() { this->timer.schedule(Microseconds(0)); }

    /// When the store last answered.
    Instant lastAnswer() const { return this->answeredAt; }

    bool isLoaded() const { return this->isListed; }

private:
    /// Pause after the first failed call; it doubles with each further one.
    static constexpr Milliseconds firstRetryPause { 100 };
    static constexpr Milliseconds longestRetryPause { 800 };

    void proceed()
    {
        auto take = [this, alive = this->alive, asked = this->isListed](Result<KvListing, KvFailure> result) {
            if (*alive)
                this->take(asked, std::move(result));
        };
        if (this->isListed)
            this->store.watch(this->prefix, this->revision, this->wait, take);
        else
            this->store.list(this->prefix, take);
    }

    void take(bool wasWatch, Result<KvListing, KvFailure> result)
    {
        if (!result.has_value()) {
            this->fail(result.error());
            return;
        }
        if (this->failures)
            writeLog(LogLevel::Info, LogLine("store_prefix_regained").add("prefix", this->prefix));
        this->failures = 0;
        this->answeredAt = BootClock::now();
        this->revision = std::max(this->revision, result.value().revision);
        this->isListed = true;
        auto stillAlive = this->alive;
        (wasWatch ? this->handlers.changed : this->handlers.listed)(result.value());
        if (*stillAlive)
            this->timer.schedule(Microseconds(0));
    }

    void fail(KvFailure failure)
    {
        if (failure == KvFailure::HistoryGone) {
            writeLog(LogLevel::Info, LogLine("store_history_gone").add("prefix", this->prefix));
            this->isListed = false;
            this->revision = 0;
            this->timer.schedule(Microseconds(0));
            return;
        }
        if (!this->failures)
            writeLog(LogLevel::Warning,
                LogLine("store_prefix_lost").add("prefix", this->prefix).add("reason", nameOf(failure)));
        auto pause = std::min(longestRetryPause, firstRetryPause * (1 << std::min(this->failures, 3)));
        this->failures += 1;
        auto stillAlive = this->alive;
        this->handlers.failed(failure);
        if (*stillAlive)
            this->timer.schedule(pause);
    }

    Store& store;
    std::string prefix;
    Milliseconds wait;
    Handlers handlers;
    Timer timer;
    std::shared_ptr<bool> alive;
    bool isListed = false;
    std::int64_t revision = 0;
    int failures = 0;
    Instant answeredAt { Instant::min() };
};

} // namespace Greengage
