#pragma once

#include <coordinator/store/AnswerTimeout.h>
#include <coordinator/store/SharedStore.h>
#include <tests/takeovers/VirtualLoop.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace Greengage {

/// How a store is gone.
enum class OutageKind {
    /// Connections or calls are refused at once.
    Refusing,
    /// Connections are reset once a call has arrived, and open ones when the outage begins.
    Resetting,
    /// Calls arrive and get no answer, nor do those that are under way when the outage begins.
    Silent,
};

/// A store with outages at set times and one change of its only key, as a daemon sees it through time limits like those
/// of a real client.
class OutageStore {
public:
    struct Outage {
        Instant from;
        Instant until;
        OutageKind kind;
    };

    static constexpr std::int64_t firstRevision = 1;
    static constexpr std::int64_t changedRevision = 2;
    /// Limit for the answer to a listing.
    static constexpr Milliseconds pageTimeout { 1000 };

    std::vector<Outage> outages;
    Instant changeAt;
    Milliseconds latency { 4 };
    /// Whether the store has dropped the history before the end of the outages.
    bool dropsHistory = false;
    AnswerTimeout answerTimeout;
    std::size_t calls = 0;

    void read(const std::string&, const KvReadCallback& callback) { callback(KvFailure::Refused); }
    void commit(const KvCommit&, const KvCommitCallback& callback) { callback(KvFailure::Refused); }

    void list(const std::string&, KvListCallback callback)
    {
        this->send(VirtualLoop::shared().now(), pageTimeout, std::move(callback), [](auto) {});
    }

    void watch(const std::string&, std::int64_t after, Milliseconds wait, KvListCallback callback)
    {
        Instant now = VirtualLoop::shared().now();
        if (this->dropsHistory && after == firstRevision && this->isBack(now)) {
            VirtualLoop::shared().schedule(this->latency, nullptr, [callback] { callback(KvFailure::HistoryGone); });
            return;
        }
        Instant ready = now + wait;
        if (after < changedRevision)
            ready = std::min(ready, std::max(now, this->changeAt));
        this->send(ready, this->answerTimeout.watchLimit(wait), std::move(callback), [this, wait](Microseconds took) {
            if (took > wait)
                this->answerTimeout.recordAnswer(took - wait);
        });
    }

    bool isBack(Instant now) const
    {
        return std::all_of(
            this->outages.begin(), this->outages.end(), [now](const Outage& outage) { return outage.until <= now; });
    }

private:
    /// Sends a call that the store answers once it is `ready`, unless an outage comes first.
    template <typename Answered>
    void send(Instant ready, Milliseconds limit, KvListCallback callback, Answered answered)
    {
        this->calls += 1;
        Instant now = VirtualLoop::shared().now();
        Instant failsAt = now + limit;
        bool isAnswered = ready + this->latency <= failsAt;
        for (const auto& outage : this->outages) {
            if (outage.until <= now || outage.from >= ready + this->latency)
                continue;
            isAnswered = false;
            if (outage.kind == OutageKind::Refusing && outage.from <= now) {
                VirtualLoop::shared().schedule(Milliseconds(1), nullptr, [callback] { callback(KvFailure::Refused); });
                return;
            }
            if (outage.kind == OutageKind::Resetting)
                failsAt = std::min(failsAt, std::max(now, outage.from) + Milliseconds(1));
            break;
        }
        if (!isAnswered) {
            VirtualLoop::shared().schedule(failsAt - now, nullptr, [this, callback] {
                this->answerTimeout.recordSilence();
                callback(KvFailure::Unanswered);
            });
            return;
        }
        VirtualLoop::shared().schedule(ready + this->latency - now, nullptr, [this, now, callback, answered] {
            Instant answeredAt = VirtualLoop::shared().now();
            answered(answeredAt - now);
            bool isChanged = answeredAt - this->latency >= this->changeAt;
            callback(KvListing { {}, isChanged ? changedRevision : firstRevision });
        });
    }
};

} // namespace Greengage
