#pragma once

#include <coordinator/store/SharedStore.h>
#include <core/errors/ErrorBoundary.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/Deadline.h>
#include <loop/timers/Timer.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

namespace Greengage {

/// Follows all keys below one prefix of the shared store: reads a listing first, then watches for changes. Lists again
/// when the store has dropped the history that the watch needs, or when a handler has ended with an unforeseen error.
/// After a failure it does not wait for changes until the store has answered, so that a store that is back is noticed
/// soon.
template <SharedStore Store> class PrefixMirror {
public:
    struct Handlers {
        /// Called with a complete listing; keys that are not in it do not exist.
        std::function<void(const KvListing&)> onListing;
        /// Called with the changes since, in order; there may be none.
        std::function<void(const KvListing&)> onChanges;
        /// Called when the store has given no usable answer.
        std::function<void(KvFailure)> onFailure;
    };

    /// `wait` is how long one watch waits for changes.
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

    /// Calls no handler any more, also for calls that are still open.
    void close()
    {
        *this->alive = false;
        this->timer.cancel();
    }

    void start() { this->timer.schedule(Microseconds(0)); }

    /// When the store last answered.
    Instant lastAnswer() const { return this->answeredAt; }

    /// Whether a complete listing has been read, and the history since is known.
    bool isLoaded() const { return this->isListed; }

private:
    /// Least time between the first failed call and the next one; it doubles with each further failure.
    static constexpr Milliseconds firstRetryPause { 100 };
    static constexpr Milliseconds longestRetryPause { 800 };

    void proceed()
    {
        auto onResult = [this, alive = this->alive, wasListed = this->isListed](Result<KvListing, KvFailure> result) {
            if (*alive)
                this->handleResult(wasListed, std::move(result));
        };
        this->calledAt = BootClock::now();
        if (this->isListed)
            this->store.watch(this->prefix, this->revision, this->failures ? Milliseconds(0) : this->wait, onResult);
        else
            this->store.list(this->prefix, onResult);
    }

    void handleResult(bool wasWatch, Result<KvListing, KvFailure> result)
    {
        if (!result.has_value()) {
            this->fail(result.error());
            return;
        }
        if (this->failures)
            writeLog(LogLevel::Info,
                LogLine("store_prefix_recovered").add("prefix", this->prefix).add("failures", this->failures));
        this->failures = 0;
        this->answeredAt = BootClock::now();
        this->revision = std::max(this->revision, result.value().revision);
        this->isListed = true;
        auto stillAlive = this->alive;
        // The handler may destroy this mirror.
        bool isHandled = ErrorBoundary::run(ErrorEffect::StateInDoubt, WorkKind::StorePrefix, std::string(this->prefix),
            [&] { (wasWatch ? this->handlers.onChanges : this->handlers.onListing)(result.value()); });
        if (!*stillAlive)
            return;
        if (!isHandled)
            this->listAnew();
        this->timer.schedule(isHandled ? Milliseconds(0) : longestRetryPause);
    }

    void listAnew()
    {
        this->isListed = false;
        this->revision = 0;
    }

    void fail(KvFailure failure)
    {
        if (failure == KvFailure::HistoryGone) {
            writeLog(LogLevel::Info, LogLine("store_history_gone").add("prefix", this->prefix));
            this->listAnew();
            this->timer.schedule(Microseconds(0));
            return;
        }
        if (!this->failures)
            writeLog(LogLevel::Warning,
                LogLine("store_prefix_read_failed").add("prefix", this->prefix).add("reason", nameOf(failure)));
        auto next = Deadline::after(
            this->calledAt, std::min(longestRetryPause, firstRetryPause * (1 << std::min(this->failures, 3))));
        this->failures += 1;
        auto stillAlive = this->alive;
        this->handlers.onFailure(failure);
        if (*stillAlive)
            this->timer.schedule(next.remaining(BootClock::now()));
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
    /// When the latest call was made.
    Instant calledAt { Instant::min() };
    Instant answeredAt { Instant::min() };
};

} // namespace Greengage
