#pragma once

#include <coordinator/fleet/VmOrderRecord.h>
#include <coordinator/leadership/Leadership.h>
#include <coordinator/store/SharedStore.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/Deadline.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Greengage {

/// Stores which VMs a leader may have sent orders to, before it sends them. VMs do not compare fencing tokens, so an
/// order of the last leader may take effect after one of its successor. With this list a new leader has to spare only
/// the VMs on it, and has to do so only until the last leader's orders have taken effect. All others obey it at once.
template <SharedStore Store> class VmOrderList {
public:
    /// Called with whether the order may be sent now: it has been stored that it may be sent.
    using Callback = std::function<void(bool mayBeSent)>;

    /// `epoch` is that of this leader, `earlierOrdersUntil` when no order of an earlier one can take effect any more,
    /// and `turnPeriod` the least time between orders of two leaders to one VM.
    VmOrderList(Store& store, Leadership<Store>& leadership, std::uint32_t epoch, Deadline earlierOrdersUntil,
        Milliseconds turnPeriod)
        : store(store)
        , leadership(leadership)
        , epoch(epoch)
        , earlierOrdersUntil(earlierOrdersUntil)
        , turnPeriod(turnPeriod)
        , alive(std::make_shared<bool>(true))
    {
    }

    ~VmOrderList() { *this->alive = false; }

    VmOrderList(const VmOrderList&) = delete;
    VmOrderList& operator=(const VmOrderList&) = delete;

    /// Ignores all answers that arrive from now on, and calls no callback any more.
    void close() { *this->alive = false; }

    /// Whether no earlier leader's order to this VM can still take effect.
    bool mayOrder(const VmId& vm, Instant now) const
    {
        if (!this->isLoaded)
            return false;
        return this->earlierOrdersUntil.hasPassed(now) || (this->isInheritedListKnown && !this->inherited.contains(vm));
    }

    /// Asks for an order to be stored with the next `flush`.
    void record(const VmId& vm, Callback callback) { this->waiting.emplace_back(vm, std::move(callback)); }

    /// An order to this VM has been answered, so it cannot take effect later.
    void handleAnswer(const VmId& vm, Instant now) { this->recorded[vm] = Deadline::after(now, this->turnPeriod); }

    /// Stores the orders that were asked for since the last one. Reads the list of the last leader first.
    void flush(Instant now)
    {
        if (this->isUnderWay || !this->leadership.isLeader())
            return;
        if (!this->isLoaded) {
            if (this->nextLoad.hasPassed(now))
                this->load();
        } else if (!this->waiting.empty())
            this->write(now);
    }

private:
    static constexpr Milliseconds loadRetryPause { 200 };

    void load()
    {
        this->isUnderWay = true;
        this->store.read(StoreKeys::vmOrders, [this, alive = this->alive](auto result) {
            if (!*alive)
                return;
            this->isUnderWay = false;
            if (result.has_value()) {
                this->handleLoaded(result.value());
                return;
            }
            writeLog(LogLevel::Warning, LogLine("vm_orders_not_loaded").add("reason", nameOf(result.error())));
            this->nextLoad = Deadline::after(BootClock::now(), loadRetryPause);
        });
    }

    void handleLoaded(const std::optional<KvItem>& item)
    {
        this->isLoaded = true;
        this->revision = item ? item->revision : 0;
        auto record = item ? VmOrderRecord::decode(item->value) : std::nullopt;
        if (item && !record)
            writeLog(LogLevel::Error, LogLine("stored_vm_orders_unreadable"));
        if (record)
            this->inherited = record->vms;
        // The list says nothing of a leader that has not written it.
        this->isInheritedListKnown = record && record->epoch + 1 >= this->epoch;
        writeLog(LogLevel::Info,
            LogLine("vm_orders_loaded")
                .add("epoch", this->epoch)
                .add("of_last_leader", this->isInheritedListKnown)
                .add("vms", this->inherited.size()));
    }

    /// Writes the list of all VMs to which an order may be on its way, those of earlier leaders included.
    void write(Instant now)
    {
        auto orders = std::exchange(this->waiting, {});
        std::erase_if(this->recorded, [now](const auto& entry) { return entry.second.hasPassed(now); });
        bool areAllRecorded = std::all_of(
            orders.begin(), orders.end(), [this](const auto& order) { return this->recorded.contains(order.first); });
        for (const auto& [vm, callback] : orders)
            this->recorded[vm] = Deadline::never();
        if (areAllRecorded && this->isStored) {
            this->release(orders, true);
            return;
        }
        VmOrderRecord record { this->epoch, {} };
        if (!this->earlierOrdersUntil.hasPassed(now))
            record.vms = this->inherited;
        for (const auto& [vm, until] : this->recorded)
            record.vms.insert(vm);
        KvCommit commit { { this->leadership.condition(), { StoreKeys::vmOrders, this->revision } },
            { { StoreKeys::vmOrders, record.encode() } }, {} };
        this->isUnderWay = true;
        this->store.commit(
            std::move(commit), [this, alive = this->alive, orders = std::move(orders)](auto result) mutable {
                if (!*alive)
                    return;
                this->isUnderWay = false;
                this->isStored = result.has_value() && result.value().isCommitted;
                if (this->isStored)
                    this->revision = result.value().revision;
                else
                    this->handleNotStored(result);
                this->release(orders, this->isStored);
                if (*alive)
                    this->flush(BootClock::now());
            });
    }

    void handleNotStored(const Result<KvCommitResult, KvFailure>& result)
    {
        writeLog(LogLevel::Warning,
            LogLine("vm_orders_not_stored")
                .add("reason", result.has_value() ? std::string_view("conflict") : nameOf(result.error())));
        if (!result.has_value() || !this->leadership.isLeader())
            return;
        auto [leaderKey, token] = this->leadership.condition();
        if (result.value().currentRevision(leaderKey) != token)
            this->leadership.stepDown("the list of VM orders was refused: the leader has changed");
        else // An earlier write, whose answer was lost, has been applied.
            this->revision = result.value().currentRevision(StoreKeys::vmOrders);
    }

    void release(const std::vector<std::pair<VmId, Callback>>& orders, bool mayBeSent)
    {
        for (const auto& [vm, callback] : orders) {
            if (!*this->alive)
                return;
            this->recorded[vm] = Deadline::after(BootClock::now(), this->turnPeriod + Leadership<Store>::validity);
            callback(mayBeSent);
        }
    }

    Store& store;
    Leadership<Store>& leadership;
    std::uint32_t epoch;
    Deadline earlierOrdersUntil;
    Milliseconds turnPeriod;
    std::shared_ptr<bool> alive;
    std::int64_t revision = 0;
    bool isLoaded = false;
    Deadline nextLoad;
    bool isUnderWay = false;
    /// Whether the list with all recorded VMs is stored.
    bool isStored = false;
    /// Whether `inherited` lists all VMs that earlier leaders may have sent orders to.
    bool isInheritedListKnown = false;
    std::set<VmId> inherited;
    /// VMs that this leader has sent orders to, with the time until which the next leader has to spare them.
    std::map<VmId, Deadline> recorded;
    std::vector<std::pair<VmId, Callback>> waiting;
};

} // namespace Greengage
