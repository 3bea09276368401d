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

/// Keeps one watch on everything in the store that this daemon follows. The watch waits a second at most, so each of
/// its answers also confirms that nothing newer was stored when it was asked.
class StoreWatcher {
public:
    struct Handlers {
        /// A key has changed, or has been read for the first time; version 0 if it was deleted.
        std::function<void(const StoreEntry&)> changed;
        /// The store has answered; every change up to `askedAt` has been passed to `changed`.
        std::function<void(Instant askedAt)> confirmed;
        std::function<void()> reachabilityChanged;
    };

    StoreWatcher(event_base&, StoreClient&, std::vector<std::string> prefixes, Handlers);

    void start() { this->ask(); }

    /// When the call was sent whose answer is being taken.
    Instant askedAt() const { return this->newestAskedAt; }

    /// Whether the newest call has been answered. Before the first answer it is not.
    bool isReachable() const { return this->reachable; }

private:
    void ask();
    void take(Instant askedAt, const WatchResult&);
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
