#include <daemon/maintenance/MaintenanceDriver.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/BootClock.h>
#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <store/store/StoreClient.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreWrite.h>
#include <store/vms/RebootStatus.h>

namespace Greengage {

namespace {

constexpr Milliseconds tickInterval { 250 };
constexpr Milliseconds commandTimeout { 5000 };

} // namespace

MaintenanceDriver::MaintenanceDriver(event_base& base, StoreClient& store, const KnownConfiguration& configuration,
    IncarnationId self, Handlers handlers)
    : store(store)
    , handlers(std::move(handlers))
    , plane(std::move(self))
    , mover(
          base, store, configuration, [this](const DocumentRecord& record) { this->handlers.onDocumentStored(record); })
    , timer(base, [this] { this->tick(); })
{
    this->timer.schedule(tickInterval);
}

void MaintenanceDriver::push(MaintenanceInput input)
{
    this->inbox.push_back(std::move(input));
    if (!this->tickIsDue)
        this->timer.schedule(Microseconds::zero());
    this->tickIsDue = true;
}

void MaintenanceDriver::handleLedgerEntry(const StoreEntry& entry, Instant askedAt)
{
    this->push(LedgerRead { askedAt, entry.version, entry.value });
}

void MaintenanceDriver::command(const WaveId& wave, WaveVerb verb, std::string commandId, OnSettled onSettled)
{
    if (!this->commands.emplace(commandId, onSettled).second) {
        onSettled(CommandOutcome::Unknown);
        return;
    }
    writeLog(LogLevel::Info,
        LogLine("wave_commanded").add("wave", wave.string()).add("verb", nameOf(verb)).add("command", commandId));
    this->push(WaveCommanded { commandId, wave, verb, Deadline::after(BootClock::now(), commandTimeout) });
}

void MaintenanceDriver::tick()
{
    this->tickIsDue = false;
    std::vector<MaintenanceInput> inputs = std::move(this->inbox);
    this->inbox.clear();
    for (const MaintenanceOutput& output : this->plane.tick(BootClock::now(), std::move(inputs)))
        this->execute(output);
    if (this->ledger().revision != this->reportedRevision) {
        this->reportedRevision = this->ledger().revision;
        this->handlers.onLedgerChanged(this->ledger());
    }
    if (!this->tickIsDue)
        this->timer.schedule(tickInterval);
}

void MaintenanceDriver::execute(const MaintenanceOutput& output)
{
    struct Executor {
        MaintenanceDriver& driver;
        void operator()(const ReadLedger&) const { this->driver.readLedger(); }
        void operator()(const UpdateLedger& update) const { this->driver.updateLedger(update); }
        void operator()(const RebootVm& reboot) const { this->driver.reboot(reboot); }
        void operator()(const MoveVm& move) const { this->driver.mover.move(move); }
        void operator()(const QueryRunning& query) const { this->driver.handlers.queryRunning(query); }
        void operator()(const CommandSettled& settled) const { this->driver.settle(settled); }
        void operator()(const WaveEvent& event) const
        {
            writeLog(LogLevel::Info,
                LogLine("wave_" + std::string(nameOf(event.kind)))
                    .add("vm", event.vm.string())
                    .add("wave", event.wave.string()));
        }
        void operator()(const LedgerUnreadable& unreadable) const
        {
            writeLog(LogLevel::Error, LogLine("ledger_unreadable").add("detail", unreadable.detail));
        }
    };
    std::visit(Executor { *this }, output);
}

void MaintenanceDriver::readLedger()
{
    Instant askedAt = BootClock::now();
    this->store.read(std::string(ledgerKey), [this, askedAt](Result<StoreEntry, StoreError> entry) {
        if (entry.has_value())
            this->push(LedgerRead { askedAt, entry.value().version, entry.value().value });
        else if (entry.error().code == StoreErrorCode::NotFound)
            this->push(LedgerRead { askedAt, 0, "" });
        else
            this->push(LedgerReadFailed {});
    });
}

void MaintenanceDriver::updateLedger(const UpdateLedger& update)
{
    Instant askedAt = BootClock::now();
    StoreWrite write { std::string(ledgerKey), update.value, update.expectedVersion, "" };
    this->store.write(write, [this, askedAt, value = update.value](Result<std::uint64_t, StoreError> written) {
        if (written.has_value())
            this->push(LedgerRead { askedAt, written.value(), value });
        else
            this->push(LedgerWriteFailed {});
    });
}

void MaintenanceDriver::reboot(const RebootVm& reboot)
{
    this->store.rebootVm(
        reboot.vm.string(), reboot.operation, [this, vm = reboot.vm](const Result<RebootStatus, StoreError>& status) {
            if (status.has_value())
                this->push(RebootReported { vm, status.value().operation, status.value().done });
        });
}

void MaintenanceDriver::settle(const CommandSettled& settled)
{
    auto found = this->commands.find(settled.command);
    if (found == this->commands.end())
        return;
    OnSettled callback = std::move(found->second);
    this->commands.erase(found);
    callback(settled.outcome);
}

} // namespace Greengage
