#pragma once

#include <coordinator/store/SharedStore.h>
#include <coordinator/tests/After.h>
#include <core/time/Deadline.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Greengage {

/// The tables of an in-memory stand-in for the shared store. Several daemons share one, each through a MemoryStore.
struct MemoryTables {
    std::map<std::string, KvItem> items;
    /// All changes, in order.
    std::vector<KvItem> history;
    std::int64_t revision = 1;
    /// Watches from an earlier revision fail with HistoryGone.
    std::int64_t historyFrom = 0;
    std::size_t commits = 0;
};

/// One daemon's access to the stand-in, with simulated network faults.
class MemoryStore {
public:
    MemoryStore(event_base& base, MemoryTables& tables)
        : base(base)
        , tables(tables)
    {
    }

    /// Calls get no answer.
    bool isUnresponsive = false;
    /// Calls are refused at once.
    bool isRefusing = false;
    /// Commits fail at once without an answer, as when connections are reset.
    bool isResetting = false;
    /// The numbers of commits and of reads that were sent.
    std::size_t commitCalls = 0;
    std::size_t readCalls = 0;
    /// Delay between a listing and its answer.
    Milliseconds listDelay { 1 };
    /// How many of the next commits are applied without an answer.
    int loseCommits = 0;
    /// Commits that write this key are lost.
    std::string losesWritesOf;
    /// Commits that write this key get no answer.
    std::string losesAnswersOf;
    /// If set, says how long after their expected answer commits are applied, without one.
    std::function<std::optional<Milliseconds>()> lateness;
    /// How long such a commit is waited for.
    Milliseconds lostAnswerTimeout { 20 };

    void read(const std::string& key, KvReadCallback callback)
    {
        this->readCalls += 1;
        this->answer<std::optional<KvItem>>(std::move(callback), [this, key] {
            auto found = this->tables.items.find(key);
            return found == this->tables.items.end() ? std::optional<KvItem>() : found->second;
        });
    }

    void list(const std::string& prefix, KvListCallback callback)
    {
        KvListing listing;
        listing.revision = this->tables.revision;
        for (const auto& [key, item] : this->tables.items) {
            if (key.starts_with(prefix))
                listing.items.push_back(item);
        }
        if (this->isUnresponsive || this->isRefusing)
            this->answer<KvListing>(std::move(callback), [] { return KvListing(); });
        else
            this->later(this->listDelay, [callback = std::move(callback), listing] { callback(listing); });
    }

    void watch(const std::string& prefix, std::int64_t after, Milliseconds wait, KvListCallback callback)
    {
        this->poll(prefix, after, Deadline::after(BootClock::now(), wait), std::move(callback));
    }

    void commit(const KvCommit& commit, KvCommitCallback callback)
    {
        this->commitCalls += 1;
        if (this->isResetting) {
            this->later(Milliseconds(1), [callback = std::move(callback)] { callback(KvFailure::Unanswered); });
            return;
        }
        auto writes = [&commit](const std::string& key) {
            return std::any_of(
                commit.puts.begin(), commit.puts.end(), [&](const auto& put) { return put.first == key; });
        };
        if (writes(this->losesWritesOf)) {
            this->later(this->lostAnswerTimeout, [callback = std::move(callback)] { callback(KvFailure::Unanswered); });
            return;
        }
        if (this->isUnresponsive || this->isRefusing) {
            this->answer<KvCommitResult>(std::move(callback), [] { return KvCommitResult(); });
            return;
        }
        if (auto delay = this->lateness ? this->lateness() : std::nullopt) {
            this->later(this->lostAnswerTimeout, [callback = std::move(callback)] { callback(KvFailure::Unanswered); });
            this->later(*delay, [this, commit] { this->apply(commit); });
            return;
        }
        KvCommitResult result = this->apply(commit);
        if (this->loseCommits > 0 || writes(this->losesAnswersOf)) {
            this->loseCommits -= this->loseCommits > 0 ? 1 : 0;
            this->later(this->lostAnswerTimeout, [callback = std::move(callback)] { callback(KvFailure::Unanswered); });
            return;
        }
        this->later(Milliseconds(1), [callback = std::move(callback), result] { callback(result); });
    }

private:
    KvCommitResult apply(const KvCommit& commit)
    {
        KvCommitResult result;
        bool holds = true;
        for (const auto& [key, revision] : commit.expected) {
            auto found = this->tables.items.find(key);
            holds = holds && (found == this->tables.items.end() ? 0 : found->second.revision) == revision;
            if (found != this->tables.items.end())
                result.current.push_back(found->second);
        }
        if (!holds)
            return result;
        this->tables.commits += 1;
        this->tables.revision += 1;
        for (const auto& [key, value] : commit.puts) {
            this->tables.items[key] = { key, value, this->tables.revision, false };
            this->tables.history.push_back(this->tables.items[key]);
        }
        for (const auto& key : commit.removals) {
            if (this->tables.items.erase(key))
                this->tables.history.push_back({ key, {}, this->tables.revision, true });
        }
        return { true, this->tables.revision, {} };
    }

    template <typename Value, typename Make>
    void answer(std::function<void(Result<Value, KvFailure>)> callback, Make make)
    {
        if (this->isUnresponsive)
            this->later(Milliseconds(50), [callback = std::move(callback)] { callback(KvFailure::Unanswered); });
        else if (this->isRefusing)
            this->later(Milliseconds(1), [callback = std::move(callback)] { callback(KvFailure::Refused); });
        else
            this->later(Milliseconds(1), [callback = std::move(callback), made = make()] { callback(made); });
    }

    void poll(const std::string& prefix, std::int64_t after, Deadline until, KvListCallback callback)
    {
        if (this->isUnresponsive || this->isRefusing) {
            this->answer<KvListing>(std::move(callback), [] { return KvListing(); });
            return;
        }
        if (after < this->tables.historyFrom) {
            this->later(Milliseconds(1), [callback = std::move(callback)] { callback(KvFailure::HistoryGone); });
            return;
        }
        KvListing changes;
        changes.revision = this->tables.revision;
        const auto& history = this->tables.history;
        auto next = std::upper_bound(history.begin(), history.end(), after,
            [](std::int64_t revision, const KvItem& item) { return revision < item.revision; });
        for (; next != history.end(); ++next) {
            if (next->key.starts_with(prefix))
                changes.items.push_back(*next);
        }
        if (!changes.items.empty() || until.hasPassed(BootClock::now())) {
            this->later(Milliseconds(1), [callback = std::move(callback), changes] { callback(changes); });
            return;
        }
        this->later(Milliseconds(2), [this, prefix, after, until, callback = std::move(callback)]() mutable {
            this->poll(prefix, after, until, std::move(callback));
        });
    }

    void later(Milliseconds delay, std::function<void()> action) { after(this->base, delay, std::move(action)); }

    event_base& base;
    MemoryTables& tables;
};

} // namespace Greengage
