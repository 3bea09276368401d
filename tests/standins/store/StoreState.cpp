#include <standins/store/StoreState.h>

#include <algorithm>

namespace Greengage {

std::optional<StoreEntry> StoreState::read(const std::string& key, Instant now)
{
    this->expire(now);
    auto found = this->records.find(key);
    if (found == this->records.end() || !found->second.exists)
        return std::nullopt;
    return StoreEntry { key, found->second.value, found->second.version };
}

StoreState::WriteResult StoreState::write(const StoreWrite& write, Instant now)
{
    this->expire(now);
    if (!write.leaseId.empty() && !this->leases.contains(write.leaseId))
        return WriteResult::LeaseExpired;
    if (this->currentVersion(write.key) != write.expectedVersion)
        return WriteResult::VersionMismatch;
    auto& record = this->records[write.key];
    record.value = write.value;
    record.leaseId = write.leaseId;
    record.exists = true;
    ++record.version;
    record.changedAt = ++this->storeRevision;
    return WriteResult::Written;
}

StoreState::WriteResult StoreState::erase(const std::string& key, std::uint64_t expectedVersion, Instant now)
{
    this->expire(now);
    auto current = this->currentVersion(key);
    if (current == 0 || current != expectedVersion)
        return WriteResult::VersionMismatch;
    this->remove(this->records[key]);
    return WriteResult::Written;
}

std::vector<StoreEntry> StoreState::list(const std::string& prefix, Instant now)
{
    this->expire(now);
    std::vector<StoreEntry> entries;
    for (auto item = this->records.lower_bound(prefix); item != this->records.end(); ++item) {
        const auto& [key, record] = *item;
        if (!key.starts_with(prefix))
            break;
        if (record.exists)
            entries.push_back({ key, record.value, record.version });
    }
    return entries;
}

WatchResult StoreState::changes(const std::vector<std::string>& prefixes, std::uint64_t afterRevision, Instant now)
{
    this->expire(now);
    WatchResult result;
    result.storeRevision = this->storeRevision;
    for (const auto& [key, record] : this->records) {
        auto startsKey = [&key = key](const std::string& prefix) { return key.starts_with(prefix); };
        if (record.changedAt <= afterRevision || std::none_of(prefixes.begin(), prefixes.end(), startsKey))
            continue;
        result.entries.push_back({ key, record.value, record.exists ? record.version : 0 });
    }
    return result;
}

std::string StoreState::grantLease(Milliseconds timeToLive, Instant now)
{
    this->expire(now);
    auto id = "lease-" + std::to_string(++this->lastLease);
    this->leases[id] = { timeToLive, Deadline::after(now, timeToLive) };
    return id;
}

bool StoreState::renewLease(const std::string& leaseId, Instant now)
{
    this->expire(now);
    auto found = this->leases.find(leaseId);
    if (found == this->leases.end())
        return false;
    found->second.deadline = Deadline::after(now, found->second.timeToLive);
    return true;
}

bool StoreState::revokeLease(const std::string& leaseId, Instant now)
{
    this->expire(now);
    if (this->leases.erase(leaseId) == 0)
        return false;
    this->removeKeysOf(leaseId);
    return true;
}

std::uint64_t StoreState::currentVersion(const std::string& key) const
{
    auto found = this->records.find(key);
    return found != this->records.end() && found->second.exists ? found->second.version : 0;
}

void StoreState::expire(Instant now)
{
    for (auto item = this->leases.begin(); item != this->leases.end();) {
        if (!item->second.deadline.hasPassed(now)) {
            ++item;
            continue;
        }
        auto id = item->first;
        item = this->leases.erase(item);
        this->removeKeysOf(id);
    }
}

void StoreState::remove(Record& record)
{
    record.exists = false;
    record.value.clear();
    record.leaseId.clear();
    record.changedAt = ++this->storeRevision;
}

void StoreState::removeKeysOf(const std::string& leaseId)
{
    for (auto& [key, record] : this->records) {
        if (record.exists && record.leaseId == leaseId)
            this->remove(record);
    }
}

} // namespace Greengage
