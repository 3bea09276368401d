#pragma once

#include <coordinator/leadership/DaemonSizes.h>
#include <coordinator/leadership/LeaderRecord.h>
#include <coordinator/leadership/OpenOrdersCodec.h>
#include <coordinator/leadership/StoreKeys.h>
#include <coordinator/store/PrefixMirror.h>
#include <core/time/Deadline.h>
#include <jobs/tables/OpenOrders.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace Greengage {

/// One daemon's term as leader.
struct Term {
    /// The store's revision of the leader key: higher than that of every earlier leader.
    std::int64_t fencingToken = 0;
    std::uint32_t epoch = 0;
    /// Until when an earlier leader may still send orders.
    Deadline earlierOrdersExpire;
    /// What the leaders before have told of their orders.
    OpenOrders openOrders;
};

/// Elects, through the shared store, the leader: the daemon that places tasks. The leader key is acquired by
/// compare-and-swap and its revision is the fencing token. A leader acts only for a bounded time after the store last
/// confirmed that it holds the key; others acquire the key when the leader has not rewritten its heartbeat for a while.
/// Placing tasks is the heaviest work of a daemon, so smaller daemons wait for larger ones to acquire the key first,
/// and a smaller leader hands over to a larger daemon that offers itself.
template <SharedStore Store> class Leadership {
public:
    struct Handlers {
        std::function<void(const Term&)> onWon;
        std::function<void()> onLost;
        /// Makes the payload that the leader stores with each heartbeat.
        std::function<std::string()> makeHeartbeatPayload;
        /// A heartbeat of any leader has been read; called with its payload.
        std::function<void(const std::string&)> onHeartbeat;
        /// Describes, for the next leader, the orders of this one and of those before that may still have an effect.
        std::function<OpenOrders()> describeOrders = [] { return OpenOrders(); };
    };

    /// How long a leader acts after the store last confirmed its leadership.
    static constexpr Milliseconds validity { 2500 };
    /// The part of the validity in which unfenced orders are sent. Together with the longest call it ends before the
    /// next leader's first unfenced order, which is sent the heartbeat timeout and the unfenced order delay after the
    /// last heartbeat.
    static constexpr Milliseconds unfencedValidity { 2000 };
    static constexpr Milliseconds heartbeatPeriod { 400 };
    /// A leader that has not rewritten its heartbeat for this long counts as gone: three missed heartbeats.
    static constexpr Milliseconds heartbeatTimeout { 1300 };
    static constexpr Milliseconds checkPeriod { 100 };
    /// How long a daemon waits for larger ones to acquire a free leadership; longer than the watches by which they
    /// learn that it is free.
    static constexpr Milliseconds largerDaemonHeadStart { 600 };
    /// A daemon offers itself only once the store has answered it without failure for this long.
    static constexpr Milliseconds steadyPeriod { 2000 };
    /// No longer than the heartbeat period: whether the heartbeat has timed out is decided when a watch is answered.
    static constexpr Milliseconds watchWait { 400 };

    /// `cpuMillis` is this daemon's processor time in thousandths of a core.
    Leadership(event_base& base, Store& store, DaemonId daemon, IncarnationId incarnation, std::int64_t cpuMillis,
        Handlers handlers)
        : store(store)
        , self { std::move(daemon), std::move(incarnation), 0 }
        , sizes(store, this->self.daemon, cpuMillis)
        , handlers(std::move(handlers))
        , mirror(base, store, StoreKeys::leadership, watchWait,
              { [this](const KvListing& listing) { this->handleListing(listing); },
                  [this](const KvListing& listing) { this->handleChanges(listing); },
                  [this](KvFailure) { this->storeReachableSince.reset(); } })
        , timer(base, [this] { this->check(); })
    {
    }

    void start()
    {
        this->mirror.start();
        this->timer.schedule(checkPeriod);
    }

    bool isLeader() const { return this->term.has_value(); }

    /// Whether orders may be sent now.
    bool mayAct(Instant now) const { return this->term && !this->actUntil.hasPassed(now); }

    /// Whether unfenced orders may be sent now. The next leader cannot fence them, so they have to arrive before it
    /// sends any.
    bool maySendUnfencedOrders(Instant now) const
    {
        return this->mayAct(now) && this->actUntil.remaining(now) > validity - unfencedValidity;
    }

    const Term& currentTerm() const { return *this->term; }

    /// The expectation that makes a commit fail once another daemon has acquired the leader key.
    std::pair<std::string, std::int64_t> condition() const { return { StoreKeys::leader, this->term->fencingToken }; }

    /// Extends the time in which this daemon acts: a commit under `condition()`, sent at `sentAt`, has succeeded.
    void confirm(Instant sentAt) { this->actUntil = std::max(this->actUntil, Deadline::after(sentAt, validity)); }

    /// The same, where the store's answer to the commit has shown its revision.
    void confirm(Instant sentAt, std::int64_t revision)
    {
        this->confirm(sentAt);
        this->highestToken = std::max(this->highestToken, revision);
    }

    /// The highest fencing token that this leader may use. The store numbers all changes in one sequence, so the
    /// revision of a commit under `condition()` is above the token of the term and below that of the next one.
    std::int64_t latestToken() const { return this->highestToken; }

    /// Gives up the leadership, because there is evidence of another leader.
    void stepDown(std::string_view reason)
    {
        if (!this->term)
            return;
        writeLog(
            LogLevel::Warning, LogLine("leadership_lost").add("reason", reason).add("token", this->term->fencingToken));
        this->term.reset();
        this->heartbeatSeenAt = BootClock::now();
        this->handlers.onLost();
    }

    /// Hands over the leadership, so that another daemon can acquire it at once, and does not acquire it again.
    void resign()
    {
        this->isResigning = true;
        if (this->term)
            this->handOver("shutting down", this->handlers.describeOrders());
    }

    /// Hands over the leadership because an unforeseen error may have left this daemon's view in doubt, and does not
    /// acquire it again before `notBefore`.
    void yield(Deadline notBefore)
    {
        this->acquireFrom = std::max(this->acquireFrom, notBefore);
        if (this->term)
            this->handOver("an unforeseen error left the state of the leader in doubt", {});
    }

private:
    /// `orders` are those that may still have an effect.
    void handOver(std::string_view reason, const OpenOrders& orders)
    {
        LeaderRecord vacant { DaemonId(), this->self.incarnation, this->term->epoch,
            Leadership::remainingRoundedUp(this->term->earlierOrdersExpire),
            this->ordersCodec.encode(orders, BootClock::now()) };
        KvCommit commit { { this->condition() }, { { StoreKeys::leader, vacant.encode() } }, {} };
        this->addOfferRemoval(commit);
        this->stepDown(reason);
        // Applied before the store reports the change, so that the leadership is not acquired again at once.
        this->setLeader(vacant);
        this->store.commit(commit, [](auto result) {
            if (!result.has_value())
                writeLog(LogLevel::Warning, LogLine("resignation_failed").add("reason", nameOf(result.error())));
        });
    }

    static Milliseconds remainingRoundedUp(Deadline deadline)
    {
        return std::chrono::ceil<Milliseconds>(deadline.remaining(BootClock::now()));
    }

    /// Applies the record of the leader key that has just been read or written; nothing if it could not be read.
    void setLeader(std::optional<LeaderRecord> record)
    {
        this->leader = std::move(record);
        Milliseconds span = this->leader ? this->leader->earlierOrdersFor.value_or(validity) : validity;
        this->earlierOrdersExpire = Deadline::after(BootClock::now(), span);
        // A record that is read again tells ages as of when it was written.
        std::string source = this->leader ? this->leader->encode() : "";
        if (source == this->ordersSource)
            return;
        this->ordersSource = std::move(source);
        this->openOrders = !this->leader || this->leader->openOrders.empty()
            ? OpenOrders()
            : this->ordersCodec.decode(this->leader->openOrders, BootClock::now());
    }

    void handleListing(const KvListing& listing)
    {
        this->leader.reset();
        this->leaderRevision = 0;
        this->offeredBy = DaemonId();
        this->handleChanges(listing);
    }

    void handleChanges(const KvListing& listing)
    {
        Instant now = BootClock::now();
        if (!this->storeReachableSince)
            this->storeReachableSince = now;
        for (const auto& item : listing.items) {
            if (item.key == StoreKeys::leader && item.revision >= this->leaderRevision)
                this->handleLeaderKey(item);
            else if (item.key == StoreKeys::heartbeat && !item.isRemoved && item.revision > this->heartbeatRevision)
                this->handleHeartbeat(item, now);
            else if (item.key == StoreKeys::offer)
                this->offeredBy = item.isRemoved ? DaemonId() : DaemonId(item.value);
            else if (item.key.starts_with(StoreKeys::sizes))
                this->sizes.apply(item);
        }
        this->sizes.publish();
        this->considerHandingOver();
        this->considerAcquiring(now);
        this->considerOffering(now);
    }

    /// Hands over the leadership to a larger daemon that has offered itself.
    void considerHandingOver()
    {
        if (this->term && this->sizes.of(this->offeredBy) > this->sizes.own())
            this->handOver("a larger daemon has offered itself", this->handlers.describeOrders());
    }

    /// Offers to replace a smaller leader.
    void considerOffering(Instant now)
    {
        bool isSteady = this->storeReachableSince && now - *this->storeReachableSince >= steadyPeriod;
        if (this->term || this->isOffering || this->isResigning || !isSteady || !this->offeredBy.isEmpty())
            return;
        std::int64_t leaderSize = this->leader ? this->sizes.of(this->leader->daemon) : 0;
        if (leaderSize == 0 || leaderSize >= this->sizes.own())
            return;
        this->isOffering = true;
        KvCommit commit { { { StoreKeys::leader, this->leaderRevision }, { StoreKeys::offer, 0 } },
            { { StoreKeys::offer, this->self.daemon.string() } }, {} };
        this->store.commit(commit, [this](auto result) {
            this->isOffering = false;
            if (result.has_value() && result.value().isCommitted)
                writeLog(LogLevel::Info, LogLine("leadership_offered").add("size", this->sizes.own()));
        });
    }

    void addOfferRemoval(KvCommit& commit) const
    {
        if (!this->offeredBy.isEmpty())
            commit.removals.emplace_back(StoreKeys::offer);
    }

    void handleLeaderKey(const KvItem& item)
    {
        this->leaderRevision = item.isRemoved ? 0 : item.revision;
        this->setLeader(item.isRemoved ? std::nullopt : LeaderRecord::decode(item.value));
        if (this->term && item.revision > this->term->fencingToken)
            this->stepDown("another daemon has acquired the leader key");
        // The answer to our own acquisition may have been lost.
        bool isOwn = this->leader && this->leader->daemon == this->self.daemon
            && this->leader->incarnation == this->self.incarnation;
        // How old the answer to the watch is cannot be told, so no order is sent before a heartbeat is confirmed.
        if (isOwn && !this->term && !this->isResigning && item.revision > this->lastToken)
            this->becomeLeader(item.revision, Deadline());
    }

    void handleHeartbeat(const KvItem& item, Instant now)
    {
        this->heartbeatRevision = item.revision;
        this->heartbeatSeenAt = now;
        this->handlers.onHeartbeat(item.value);
    }

    void check()
    {
        this->timer.schedule(checkPeriod);
        Instant now = BootClock::now();
        if (this->term && this->nextHeartbeat.hasPassed(now) && !this->isHeartbeatPending)
            this->sendHeartbeat(now);
    }

    void sendHeartbeat(Instant now)
    {
        this->nextHeartbeat = Deadline::after(now, heartbeatPeriod);
        KvCommit commit { { this->condition() }, { { StoreKeys::heartbeat, this->handlers.makeHeartbeatPayload() } },
            {} };
        this->isHeartbeatPending = true;
        this->store.commit(commit, [this, now, token = this->term->fencingToken](auto result) {
            this->isHeartbeatPending = false;
            if (!this->term || this->term->fencingToken != token || !result.has_value())
                return;
            if (result.value().isCommitted)
                this->confirm(now, result.value().revision);
            else
                this->stepDown("a heartbeat was refused");
        });
    }

    /// Acquires the leadership if it is free. Called right after the store has answered.
    void considerAcquiring(Instant now)
    {
        if (this->term || this->isAcquiring || this->isResigning || !this->mirror.isLoaded())
            return;
        if (!this->acquireFrom.hasPassed(now))
            return;
        bool isVacant = !this->leader || this->leader->daemon.isEmpty();
        bool wasOwn = this->leader && this->leader->daemon == this->self.daemon;
        if (!isVacant)
            this->vacantSince.reset();
        if (isVacant || wasOwn) {
            // The last leader has resigned, or was an earlier incarnation of this daemon.
            if (!this->vacantSince)
                this->vacantSince = now;
            bool isPreferred = wasOwn || this->offeredBy == this->self.daemon;
            Milliseconds headStart = this->sizes.isLargest() ? Milliseconds(0) : largerDaemonHeadStart;
            // Before there was any leader, the daemons may not know of each other yet.
            if (!this->leader)
                headStart += largerDaemonHeadStart;
            if (isPreferred || now - *this->vacantSince >= headStart)
                this->acquire(Leadership::remainingRoundedUp(this->earlierOrdersExpire), now);
            return;
        }
        Instant timeoutStart = std::max(this->heartbeatSeenAt, *this->storeReachableSince);
        if (now - timeoutStart
            < (this->sizes.isLargest() ? heartbeatTimeout : heartbeatTimeout + largerDaemonHeadStart))
            return;
        this->isAcquiring = true;
        // The changes read last may be old if this process was paused, so the heartbeat is read once more.
        this->store.read(StoreKeys::heartbeat, [this, seenRevision = this->heartbeatRevision](auto result) {
            this->isAcquiring = false;
            if (!result.has_value())
                return;
            const auto& item = result.value();
            if (item && item->revision != seenRevision) {
                this->handleHeartbeat(*item, BootClock::now());
                return;
            }
            this->acquire(validity, BootClock::now());
        });
    }

    /// Acquires the leadership. Earlier leaders may send orders for the time given after the store has applied this:
    /// until then it may go on confirming the leadership of the last one. So the time is counted from the answer.
    void acquire(Milliseconds earlierOrdersFor, Instant now)
    {
        LeaderRecord record = this->self;
        record.epoch = this->leader ? this->leader->epoch + 1 : 0;
        record.earlierOrdersFor = earlierOrdersFor;
        OpenOrders orders = this->openOrders;
        // A leader that has not handed over may have granted leases since.
        if (!this->leader || !this->leader->daemon.isEmpty())
            orders.leases.clear();
        record.openOrders = this->ordersCodec.encode(orders, BootClock::now());
        KvCommit commit { { { StoreKeys::leader, this->leaderRevision } },
            { { StoreKeys::leader, record.encode() }, { StoreKeys::heartbeat, this->handlers.makeHeartbeatPayload() } },
            {} };
        this->addOfferRemoval(commit);
        this->isAcquiring = true;
        this->store.commit(commit, [this, record, now](auto result) {
            this->isAcquiring = false;
            if (!result.has_value() || !result.value().isCommitted || this->isResigning)
                return;
            std::int64_t token = result.value().revision;
            // The watch may have been answered first, and may have shown a later leader as well.
            if (token < this->leaderRevision)
                return;
            if (this->term && this->term->fencingToken == token)
                this->confirm(now);
            if (token <= this->lastToken)
                return;
            this->setLeader(record);
            this->leaderRevision = token;
            this->becomeLeader(token, Deadline::after(now, validity));
        });
    }

    void becomeLeader(std::int64_t token, Deadline confirmedUntil)
    {
        if (this->term)
            return;
        this->lastToken = token;
        this->highestToken = token;
        this->term = Term { token, this->leader->epoch, this->earlierOrdersExpire, this->openOrders };
        this->actUntil = confirmedUntil;
        Instant now = BootClock::now();
        this->nextHeartbeat = confirmedUntil.hasPassed(now) ? Deadline(now) : Deadline::after(now, heartbeatPeriod);
        writeLog(LogLevel::Info, LogLine("leadership_won").add("token", token).add("epoch", this->leader->epoch));
        this->handlers.onWon(*this->term);
    }

    Store& store;
    LeaderRecord self;
    DaemonSizes<Store> sizes;
    Handlers handlers;
    PrefixMirror<Store> mirror;
    Timer timer;
    std::optional<LeaderRecord> leader;
    std::int64_t leaderRevision = 0;
    std::int64_t heartbeatRevision = 0;
    std::int64_t lastToken = 0;
    std::int64_t highestToken = 0;
    Instant heartbeatSeenAt { Instant::min() };
    /// Since when the store has answered without failure.
    std::optional<Instant> storeReachableSince;
    /// Since when this daemon has seen that there is no leader.
    std::optional<Instant> vacantSince;
    /// The daemon that has offered to replace the leader; empty if none has.
    DaemonId offeredBy;
    std::optional<Term> term;
    Deadline actUntil;
    Deadline nextHeartbeat;
    /// Until when leaders before the one that `leader` names may send orders.
    Deadline earlierOrdersExpire;
    OpenOrdersCodec ordersCodec;
    /// What the record of the leader key tells of the orders of earlier leaders, and that record.
    OpenOrders openOrders;
    std::string ordersSource;
    /// This daemon does not acquire the leadership before.
    Deadline acquireFrom;
    bool isHeartbeatPending = false;
    bool isAcquiring = false;
    bool isOffering = false;
    bool isResigning = false;
};

} // namespace Greengage
