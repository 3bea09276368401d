#pragma once

#include <coordinator/leadership/DaemonSizes.h>
#include <coordinator/leadership/HolderRecord.h>
#include <coordinator/leadership/StoreKeys.h>
#include <coordinator/store/PrefixMirror.h>
#include <core/time/Deadline.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Greengage {

/// A won leadership.
struct Term {
    /// The store's revision of the holder's key: higher than that of every earlier holder.
    std::int64_t fencingToken = 0;
    std::uint32_t epoch = 0;
    /// How long orders of an earlier holder may still be sent.
    Deadline earlierOrdersOver;
};

/// Settles, through the shared store, which daemon places tasks. The holder's key is taken by compare-and-swap and its
/// revision is the fencing token. A holder acts only for a bounded time after the store last confirmed that it holds
/// the key; others take the key when the holder has not rewritten its beat for a while. Placing is the heaviest part
/// that a daemon can have, so smaller daemons let larger ones go first, and a smaller holder hands over to a larger one
/// that offers itself.
template <SharedStore Store> class Leadership {
public:
    struct Handlers {
        std::function<void(const Term&)> won;
        std::function<void()> lost;
        /// What the holder tells the others with each beat.
        std::function<std::string()> beatText;
        /// A beat of any holder has been read.
        std::function<void(const std::string&)> beatRead;
    };

    /// How long a holder acts without word from the store.
    static constexpr Milliseconds validity { 2500 };
    /// The part of the validity in which duties are given. With the longest call it ends before the next holder's first
    /// duty, which is the silence limit and a duty term after the last beat.
    static constexpr Milliseconds dutyValidity { 2000 };
    static constexpr Milliseconds beatPeriod { 400 };
    /// A holder that has not rewritten its beat for so long is taken for gone. Three missed beats.
    static constexpr Milliseconds silenceLimit { 1300 };
    static constexpr Milliseconds checkPeriod { 100 };
    /// How long a daemon waits for larger ones to take a free part; longer than the watches by which they learn of it.
    static constexpr Milliseconds largerFirst { 600 };
    /// A daemon offers itself only once it has been in touch with the store for so long.
    static constexpr Milliseconds steadyFor { 2000 };
    /// No longer than the time between beats: whether the holder is silent is decided when a watch is answered.
    static constexpr Milliseconds watchWait { 400 };

    /// `cpuMillis` is what this daemon has, in thousandths of a core.
    Leadership(event_base& base, Store& store, DaemonId daemon, IncarnationId incarnation, std::int64_t cpuMillis,
        Handlers handlers)
        : store(store)
        , self { std::move(daemon), std::move(incarnation), 0 }
        , sizes(store, this->self.daemon, cpuMillis)
        , handlers(std::move(handlers))
        , mirror(base, store, StoreKeys::leadership, watchWait,
              { [this](const KvListing& listing) { this->takeListing(listing); },
                  [this](const KvListing& listing) { this->takeChanges(listing); },
                  [this](KvFailure) { this->storeBackAt.reset(); } })
        , timer(base, [this] { this->check(); })
    {
    }

    void start()
    {
        this->mirror.start();
        this->timer.schedule(checkPeriod);
    }

    bool isHolder() const { return this->term.has_value(); }

    /// Whether orders may be given now.
    bool mayAct(Instant now) const { return this->term && !this->actUntil.hasPassed(now); }

    /// Whether orders may be given that the next holder cannot fence: they have to arrive before it gives any.
    bool mayGiveDuties(Instant now) const
    {
        return this->mayAct(now) && this->actUntil.remaining(now) > validity - dutyValidity;
    }

    const Term& currentTerm() const { return *this->term; }

    /// The expectation that makes a commit fail once another daemon holds the key.
    std::pair<std::string, std::int64_t> condition() const { return { StoreKeys::holder, this->term->fencingToken }; }

    /// A commit that was sent then, under the condition, has been done.
    void confirm(Instant sentAt) { this->actUntil = std::max(this->actUntil, Deadline::after(sentAt, validity)); }

    /// Something speaks for another holder: gives up the part.
    void stepDown(std::string_view reason)
    {
        if (!this->term)
            return;
        writeLog(
            LogLevel::Warning, LogLine("leadership_lost").add("reason", reason).add("token", this->term->fencingToken));
        this->term.reset();
        this->beatSeenAt = BootClock::now();
        this->handlers.lost();
    }

    /// Hands the part back, so that another daemon can take it at once, and takes it no more.
    void resign()
    {
        this->isResigning = true;
        if (this->term)
            this->handBack("shutting down");
    }

private:
    void handBack(std::string_view reason)
    {
        HolderRecord vacant { DaemonId(), this->self.incarnation, this->term->epoch };
        KvCommit commit { { this->condition() }, { { StoreKeys::holder, vacant.encode() } }, {} };
        this->addOfferRemoval(commit);
        this->stepDown(reason);
        // Until the store tells of it, so that the part is not taken back at once.
        this->holder = vacant;
        this->store.commit(commit, [](auto result) {
            if (!result.has_value())
                writeLog(LogLevel::Warning, LogLine("resignation_failed").add("reason", nameOf(result.error())));
        });
    }

    void takeListing(const KvListing& listing)
    {
        this->holder.reset();
        this->holderRevision = 0;
        this->offeredBy = DaemonId();
        this->takeChanges(listing);
    }

    void takeChanges(const KvListing& listing)
    {
        Instant now = BootClock::now();
        if (!this->storeBackAt)
            this->storeBackAt = now;
        for (const auto& item : listing.items) {
            if (item.key == StoreKeys::holder && item.revision >= this->holderRevision)
                this->takeHolder(item);
            else if (item.key == StoreKeys::beat && !item.isRemoved && item.revision > this->beatRevision)
                this->takeBeat(item, now);
            else if (item.key == StoreKeys::offer)
                this->offeredBy = item.isRemoved ? DaemonId() : DaemonId(item.value);
            else if (item.key.starts_with(StoreKeys::sizes))
                this->sizes.take(item);
        }
        this->sizes.publish();
        this->considerHandingOver();
        this->considerTaking(now);
        this->considerOffering(now);
    }

    /// Hands the part to a larger daemon that has offered itself.
    void considerHandingOver()
    {
        if (this->term && this->sizes.of(this->offeredBy) > this->sizes.own())
            this->handBack("a larger daemon has offered itself");
    }

    /// Offers to take the part over from a smaller holder.
    void considerOffering(Instant now)
    {
        bool isSteady = this->storeBackAt && now - *this->storeBackAt >= steadyFor;
        if (this->term || this->isOffering || this->isResigning || !isSteady || !this->offeredBy.isEmpty())
            return;
        std::int64_t held = this->holder ? this->sizes.of(this->holder->daemon) : 0;
        if (held == 0 || held >= this->sizes.own())
            return;
        this->isOffering = true;
        KvCommit commit { { { StoreKeys::holder, this->holderRevision }, { StoreKeys::offer, 0 } },
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

    void takeHolder(const KvItem& item)
    {
        this->holderRevision = item.isRemoved ? 0 : item.revision;
        this->holder = item.isRemoved ? std::nullopt : HolderRecord::decode(item.value);
        if (this->term && item.revision > this->term->fencingToken)
            this->stepDown("another daemon holds the key");
        // An answer to our own taking may have been lost.
        bool isOurs = this->holder && this->holder->daemon == this->self.daemon
            && this->holder->incarnation == this->self.incarnation;
        if (isOurs && !this->term && !this->isResigning && item.revision > this->lastToken) {
            this->earlierOrdersOver = Deadline::after(BootClock::now(), validity);
            this->win(item.revision, BootClock::now());
        }
    }

    void takeBeat(const KvItem& item, Instant now)
    {
        this->beatRevision = item.revision;
        this->beatSeenAt = now;
        this->handlers.beatRead(item.value);
    }

    void check()
    {
        Instant now = BootClock::now();
        if (this->term && this->nextBeat.hasPassed(now) && !this->isBeating)
            this->sendBeat(now);
        this->timer.schedule(checkPeriod);
    }

    void sendBeat(Instant now)
    {
        this->nextBeat = Deadline::after(now, beatPeriod);
        this->isBeating = true;
        KvCommit commit { { this->condition() }, { { StoreKeys::beat, this->handlers.beatText() } }, {} };
        this->store.commit(commit, [this, now, token = this->term->fencingToken](auto result) {
            this->isBeating = false;
            if (!this->term || this->term->fencingToken != token || !result.has_value())
                return;
            if (result.value().isCommitted)
                this->confirm(now);
            else
                this->stepDown("a beat was refused");
        });
    }

    /// Decides, right after the store has answered, whether the part is free.
    void considerTaking(Instant now)
    {
        if (this->term || this->isTaking || this->isResigning || !this->mirror.isLoaded())
            return;
        bool isVacant = !this->holder || this->holder->daemon.isEmpty();
        bool wasOurs = this->holder && this->holder->daemon == this->self.daemon;
        if (!isVacant)
            this->vacantSince.reset();
        if (isVacant || wasOurs) {
            // The last holder has said that it is gone, or was an earlier process of this daemon.
            if (!this->vacantSince)
                this->vacantSince = now;
            bool goesFirst = wasOurs || this->offeredBy == this->self.daemon;
            Milliseconds patience = this->sizes.isLargest() ? Milliseconds(0) : largerFirst;
            // Before there was any holder, the daemons may not know of each other yet.
            if (!this->holder)
                patience += largerFirst;
            if (goesFirst || now - *this->vacantSince >= patience)
                this->take(Milliseconds(0), now);
            return;
        }
        Instant silentSince = std::max(this->beatSeenAt, *this->storeBackAt);
        if (now - silentSince < (this->sizes.isLargest() ? silenceLimit : silenceLimit + largerFirst))
            return;
        this->isTaking = true;
        // The changes read last may be old if this process was paused, so the beat is read once more.
        this->store.read(StoreKeys::beat, [this, seen = this->beatRevision](auto result) {
            this->isTaking = false;
            if (!result.has_value())
                return;
            const auto& item = result.value();
            if (item && item->revision != seen) {
                this->takeBeat(*item, BootClock::now());
                return;
            }
            this->take(validity, BootClock::now());
        });
    }

    void take(Milliseconds earlierValidity, Instant now)
    {
        this->isTaking = true;
        this->earlierOrdersOver = Deadline::after(now, earlierValidity);
        HolderRecord record = this->self;
        record.epoch = this->holder ? this->holder->epoch + 1 : 0;
        KvCommit commit { { { StoreKeys::holder, this->holderRevision } },
            { { StoreKeys::holder, record.encode() }, { StoreKeys::beat, this->handlers.beatText() } }, {} };
        this->addOfferRemoval(commit);
        this->store.commit(commit, [this, record, now](auto result) {
            this->isTaking = false;
            if (!result.has_value() || !result.value().isCommitted || this->isResigning)
                return;
            this->holder = record;
            this->holderRevision = result.value().revision;
            this->win(result.value().revision, now);
        });
    }

    void win(std::int64_t token, Instant confirmedAt)
    {
        if (this->term)
            return;
        this->lastToken = token;
        Deadline over = std::max(this->earlierOrdersOver, Deadline(confirmedAt));
        this->term = Term { token, this->holder->epoch, over };
        this->actUntil = Deadline::after(confirmedAt, validity);
        this->nextBeat = Deadline::after(BootClock::now(), beatPeriod);
        writeLog(LogLevel::Info, LogLine("leadership_won").add("token", token).add("epoch", this->holder->epoch));
        this->handlers.won(*this->term);
    }

    Store& store;
    HolderRecord self;
    DaemonSizes<Store> sizes;
    Handlers handlers;
    PrefixMirror<Store> mirror;
    Timer timer;
    std::optional<HolderRecord> holder;
    std::int64_t holderRevision = 0;
    std::int64_t beatRevision = 0;
    std::int64_t lastToken = 0;
    Instant beatSeenAt { Instant::min() };
    /// Since when the store has answered without a failure between.
    std::optional<Instant> storeBackAt;
    /// Since when nobody has held the part, as far as this daemon has seen.
    std::optional<Instant> vacantSince;
    /// Who has offered to take the part over; empty if nobody has.
    DaemonId offeredBy;
    std::optional<Term> term;
    Deadline actUntil;
    Deadline nextBeat;
    Deadline earlierOrdersOver;
    bool isBeating = false;
    bool isTaking = false;
    bool isOffering = false;
    bool isResigning = false;
};

} // namespace Greengage
