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

/// Runs the maintenance plane: gathers its inputs, ticks it and carries out what it asks for through the store, the
/// platform and the gateway.
class MaintenanceDriver {
public:
    struct Handlers {
        std::function<void(const AskRunning&)> askRunning;
        /// The ledger has changed, and with it which VMs get no new work.
        std::function<void(const MaintenanceLedger&)> ledgerChanged;
        std::function<void(const DocumentRecord&)> documentStored;
    };
    using Settled = std::function<void(CommandOutcome)>;

    MaintenanceDriver(event_base&, StoreClient&, const KnownConfiguration&, IncarnationId self, Handlers);

    void push(MaintenanceInput);

    /// The watch has brought the ledger's value.
    void take(const StoreEntry&, Instant askedAt);

    /// Gives an operator's command; `settled` is called once.
    void command(const WaveId&, WaveVerb, std::string commandId, Settled settled);

    const MaintenanceLedger& ledger() const { return this->plane.ledger(); }

private:
    void tick();
    void carryOut(const MaintenanceOutput&);
    void readLedger();
    void updateLedger(const UpdateLedger&);
    void reboot(const RebootVm&);
    void settle(const CommandSettled&);

    StoreClient& store;
    Handlers handlers;
    MaintenancePlane plane;
    VmMover mover;
    std::vector<MaintenanceInput> inbox;
    std::map<std::string, Settled> commands;
    std::uint64_t shownRevision = 0;
    bool tickIsDue = false;
    Timer timer;
};

} // namespace Greengage
