#pragma once

#include <core/time/Instant.h>
#include <loop/timers/Timer.h>
#include <store/store/StoreEntry.h>

#include <functional>
#include <string>
#include <vector>

namespace Greengage {

class StoreClient;
struct WatchResult;

/// Keeps one long-poll watch on all key prefixes in the store that this daemon follows. A watch call waits at most one
/// second, so each answer also confirms that nothing newer was stored when the call was sent.
class StoreWatcher {
public:
    struct Handlers {
        /// Called with a key that has changed or is read for the first time; its version is 0 if it was deleted.
        std::function<void(const StoreEntry&)> onEntryChanged;
        /// Called when the store has answered and every change up to `askedAt` was passed to `onEntryChanged`.
        std::function<void(Instant askedAt)> onConfirmed;
        /// Called when `isReachable` has changed.
        std::function<void()> onReachabilityChanged;
    };

    StoreWatcher(event_base&, StoreClient&, std::vector<std::string> prefixes, Handlers);

    void start() { this->watch(); }

    /// When the call was sent whose answer is being handled or was handled last.
    Instant askedAt() const { return this->newestAskedAt; }

    /// Whether the last watch call that ended was answered; false before the first answer.
    bool isReachable() const { return this->reachable; }

private:
    void watch();
    void handleResult(Instant askedAt, const WatchResult&);
    void setReachable(bool);

    StoreClient& store;
    std::vector<std::string> prefixes;
    Handlers handlers;
    std::uint64_t storeRevision = 0;
    bool reachable = false;
    Instant newestAskedAt = Instant::min();
    Timer retry;
};

} // namespace Greengage
