#pragma once

#include <core/errors/Result.h>
#include <core/time/Instant.h>
#include <store/store/StoreError.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace Greengage {

struct RebootStatus;
struct StoreCallCount;
struct StoreEntry;
struct StoreWrite;
struct VmRecord;
struct WatchResult;

/// Client for the platform's key-value service and VM list over HTTP, on the caller's event loop. Every call invokes
/// its callback exactly once, never from within the call itself, and no later than its timeout. Destroying the client
/// drops the calls in progress without calling back.
class StoreClient {
public:
    /// `sourceAddress` is the local address that connections are bound to.
    StoreClient(event_base&, std::string storeAddress, std::uint16_t storePort, std::string sourceAddress);
    ~StoreClient();

    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;

    template <typename Value> using Callback = std::function<void(Result<Value, StoreError>)>;

    /// Calls back with the key's value and version, or with NotFound.
    void read(const std::string& key, Callback<StoreEntry>);
    /// Calls back with the key's new version.
    void write(const StoreWrite&, Callback<std::uint64_t>);
    /// Deletes a key if it has the expected version. Calls back with true, or with Conflict.
    void erase(const std::string& key, std::uint64_t expectedVersion, Callback<bool>);
    /// Calls back with every key that starts with the prefix.
    void list(const std::string& prefix, Callback<std::vector<StoreEntry>>);
    /// Waits up to `wait` for a change, after the store's revision `afterRevision`, to any key that starts with one of
    /// the prefixes.
    void watch(const std::vector<std::string>& prefixes, std::uint64_t afterRevision, Milliseconds wait,
        Callback<WatchResult>);
    /// Calls back with the id of a lease that expires `timeToLive` after its last renewal.
    void grantLease(Milliseconds timeToLive, Callback<std::string>);
    /// Calls back with true, or with LeaseExpired if the lease has expired.
    void renewLease(const std::string& leaseId, Callback<bool>);
    /// Calls back with the platform's list of VMs, which may be outdated. The request carries the entity tag of the
    /// last list, so an unchanged list is neither sent nor parsed again and the same object is returned.
    void readVms(Callback<std::shared_ptr<const std::vector<VmRecord>>>);
    /// Asks the platform to reboot a VM. The platform runs each operation number of a VM once, so the call may be
    /// repeated safely.
    void rebootVm(const std::string& vm, std::uint64_t operation, Callback<RebootStatus>);

    /// The number of calls of each kind made so far.
    std::vector<StoreCallCount> callCounts() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
