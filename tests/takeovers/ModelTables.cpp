#include <tests/takeovers/ModelTables.h>

#include <algorithm>

namespace Greengage {

KvCommitResult ModelTables::apply(const KvCommit& commit)
{
    KvCommitResult result;
    bool holds = true;
    for (const auto& [key, expected] : commit.expected) {
        auto found = this->items.find(key);
        holds = holds && (found == this->items.end() ? 0 : found->second.revision) == expected;
        if (found != this->items.end())
            result.current.push_back(found->second);
    }
    if (!holds)
        return result;
    this->revision += 1;
    for (const auto& [key, value] : commit.puts) {
        this->items[key] = { key, value, this->revision, false };
        this->history.push_back(this->items[key]);
    }
    for (const auto& key : commit.removals) {
        if (this->items.erase(key))
            this->history.push_back({ key, {}, this->revision, true });
    }
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        KvListing changes = this->changesSince(watch->second.prefix, watch->second.after);
        if (changes.items.empty()) {
            ++watch;
            continue;
        }
        watch->second.answer(changes);
        watch = this->watches.erase(watch);
    }
    return { true, this->revision, {} };
}

KvListing ModelTables::list(const std::string& prefix) const
{
    KvListing listing;
    listing.revision = this->revision;
    for (auto entry = this->items.lower_bound(prefix); entry != this->items.end(); ++entry) {
        if (!entry->first.starts_with(prefix))
            break;
        listing.items.push_back(entry->second);
    }
    return listing;
}

KvListing ModelTables::changesSince(const std::string& prefix, std::int64_t since) const
{
    KvListing changes;
    changes.revision = this->revision;
    auto next = std::upper_bound(this->history.begin(), this->history.end(), since,
        [](std::int64_t value, const KvItem& item) { return value < item.revision; });
    for (; next != this->history.end(); ++next) {
        if (next->key.starts_with(prefix))
            changes.items.push_back(*next);
    }
    return changes;
}

std::uint64_t ModelTables::addWatch(Watch watch)
{
    this->watches.emplace(this->nextWatch, std::move(watch));
    return this->nextWatch++;
}

void ModelTables::endWatch(std::uint64_t number)
{
    auto found = this->watches.find(number);
    if (found == this->watches.end())
        return;
    found->second.answer(this->changesSince(found->second.prefix, found->second.after));
    this->watches.erase(found);
}

} // namespace Greengage
