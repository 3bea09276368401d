#include <daemon/configuration/StoreWatcher.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/BootClock.h>
#include <store/store/StoreClient.h>
#include <store/store/WatchResult.h>

namespace Greengage {

namespace {

constexpr Milliseconds watchWait { 1000 };
constexpr Milliseconds retryDelay { 250 };

} // namespace

StoreWatcher::StoreWatcher(event_base& base, StoreClient& store, std::vector<std::string> prefixes, Handlers handlers)
    : store(store)
    , prefixes(std::move(prefixes))
    , handlers(std::move(handlers))
    , retry(base, [this] { this->watch(); })
{
}

void StoreWatcher::watch()
{
    Instant askedAt = BootClock::now();
    auto answered = [this, askedAt](Result<WatchResult, StoreError> result) {
        if (result.has_value()) {
            this->handleResult(askedAt, result.value());
            this->watch();
            return;
        }
        if (this->reachable)
            writeLog(LogLevel::Warning,
                LogLine("store_unreachable")
                    .add("code", nameOf(result.error().code))
                    .add("detail", result.error().detail));
        this->setReachable(false);
        this->retry.schedule(retryDelay);
    };
    this->store.watch(this->prefixes, this->storeRevision, watchWait, answered);
}

void StoreWatcher::handleResult(Instant askedAt, const WatchResult& result)
{
    if (!this->reachable)
        writeLog(LogLevel::Info, LogLine("store_reachable").add("store_revision", result.storeRevision));
    this->setReachable(true);
    this->storeRevision = result.storeRevision;
    this->newestAskedAt = askedAt;
    for (const StoreEntry& entry : result.entries)
        this->handlers.onEntryChanged(entry);
    this->handlers.onConfirmed(askedAt);
}

void StoreWatcher::setReachable(bool isReachable)
{
    if (this->reachable == isReachable)
        return;
    this->reachable = isReachable;
    this->handlers.onReachabilityChanged();
}

} // namespace Greengage
