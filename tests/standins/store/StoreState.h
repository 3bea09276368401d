#pragma once

#include <core/time/Deadline.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreWrite.h>
#include <store/store/WatchResult.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Greengage {

/// The state of an in-memory key-value store with compare-and-swap and leases. Every method that takes `now` first
/// removes the leases that have expired by then, and their keys.
class StoreState {
public:
    enum class WriteResult {
        Written,
        VersionMismatch,
        LeaseExpired,
    };

    std::optional<StoreEntry> read(const std::string& key, Instant now);
    WriteResult write(const StoreWrite&, Instant now);
    WriteResult erase(const std::string& key, std::uint64_t expectedVersion, Instant now);
    std::vector<StoreEntry> list(const std::string& prefix, Instant now);

    /// The keys with one of the prefixes that changed after the revision. A deleted key has version 0.
    WatchResult changes(const std::vector<std::string>& prefixes, std::uint64_t afterRevision, Instant now);

    std::string grantLease(Milliseconds timeToLive, Instant now);
    bool renewLease(const std::string& leaseId, Instant now);
    bool revokeLease(const std::string& leaseId, Instant now);

    /// The version of the key; 0 if it does not exist.
    std::uint64_t currentVersion(const std::string& key) const;
    std::uint64_t revision() const { return this->storeRevision; }

    /// Removes the leases that have expired by `now`, and their keys.
    void expire(Instant now);

private:
    struct Record {
        std::string value;
        std::string leaseId;
        std::uint64_t version = 0;
        std::uint64_t changedAt = 0;
        bool exists = false;
    };

    struct Lease {
        Milliseconds timeToLive;
        Deadline deadline;
    };

    void remove(Record&);
    void removeKeysOf(const std::string& leaseId);

    std::map<std::string, Record> records;
    std::map<std::string, Lease> leases;
    std::uint64_t storeRevision = 0;
    std::uint64_t lastLease = 0;
};

} // namespace Greengage
