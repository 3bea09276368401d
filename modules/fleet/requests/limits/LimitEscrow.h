#pragma once

#include <core/text/Identifier.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct AllotmentsRead;
struct AllotmentsWriteFailed;
struct EscrowState;
struct MembersListed;

/// Enforces a team's upper limit across the fleet. The limit is divided into allotments of daemon incarnations, stored
/// as one value. A daemon starts requests of a team only within its own allotment, and the sum of the allotments never
/// grows above the limit. A daemon stops using units before the write that hands them back, and uses new units only
/// after the write that takes them has succeeded.
class LimitEscrow {
public:
    explicit LimitEscrow(Tick&);

    /// Marks the allotments as void if contact was lost for so long that others may have reclaimed them. Runs first in
    /// a tick, before newer messages restore the contact.
    void checkContact();
    void handle(const AllotmentsRead&);
    void handle(const AllotmentsWriteFailed&);
    void handle(const MembersListed&);
    /// Updates the end of contact and writes a new plan if needed. Runs last in a tick.
    void run();

    /// Whether another request of the team may be started.
    bool allowsStart(const TeamId&) const;
    /// Units of the team that this daemon may use now.
    int usableUnits(const TeamId&) const;

private:
    int equalShare(const TeamId&) const;
    bool settlesOlderWrites(const AllotmentsRead&) const;
    /// Whether units may be needed, or must be handed back, before the next periodic plan.
    bool needsPlan() const;
    void write();
    void updateShutdownState();
    /// Whether the only units left are those of work whose end is not known.
    bool hasHandedBack() const;

    Tick& tick;
    EscrowState& state;
};

} // namespace Greengage
