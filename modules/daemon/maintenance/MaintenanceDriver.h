#pragma once

#include <core/text/Identifier.h>
#include <daemon/maintenance/VmMover.h>
#include <fleet/maintenance/MaintenancePlane.h>
#include <fleet/maintenance/messages/WaveCommanded.h>
#include <loop/timers/Timer.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Greengage {

class StoreClient;
struct StoreEntry;
struct StoreError;

/// Runs the maintenance plane: queues its inputs, runs its ticks and executes their outputs through the store, the
/// platform and the gateway.
class MaintenanceDriver {
public:
    struct Handlers {
        /// Queries an endpoint for the attempts that it runs.
        std::function<void(const QueryRunning&)> queryRunning;
        /// Called when the ledger has changed, which decides the VMs that get no new work.
        std::function<void(const MaintenanceLedger&)> onLedgerChanged;
        /// Called with a record that holds a moved VM and has been stored.
        std::function<void(const DocumentRecord&)> onDocumentStored;
    };
    using OnSettled = std::function<void(CommandOutcome)>;

    MaintenanceDriver(event_base&, StoreClient&, const KnownConfiguration&, IncarnationId self, Handlers);

    void push(MaintenanceInput);

    /// Handles a value of the ledger that the store watch, sent at `askedAt`, returned.
    void handleLedgerEntry(const StoreEntry&, Instant askedAt);

    /// Issues an operator's command; `onSettled` is called once.
    void command(const WaveId&, WaveVerb, std::string commandId, OnSettled onSettled);

    const MaintenanceLedger& ledger() const { return this->plane.ledger(); }

private:
    void tick();
    void execute(const MaintenanceOutput&);
    void readLedger();
    void updateLedger(const UpdateLedger&);
    void reboot(const RebootVm&);
    void settle(const CommandSettled&);

    StoreClient& store;
    Handlers handlers;
    MaintenancePlane plane;
    VmMover mover;
    std::vector<MaintenanceInput> inbox;
    /// Callbacks of unsettled commands, by command id.
    std::map<std::string, OnSettled> commands;
    std::uint64_t reportedRevision = 0;
    bool tickIsDue = false;
    Timer timer;
};

} // namespace Greengage
