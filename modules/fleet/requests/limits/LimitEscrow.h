#pragma once

#include <core/text/Identifier.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct AllotmentsRead;
struct AllotmentsWriteFailed;
struct EscrowState;
struct MembersListed;

/// Keeps a team's upper limit across the fleet. The limit is split into allotments of incarnations in one value of the
/// store; a daemon starts work of a team only within its own allotment, and the allotments together never grow above
/// the limit. Units are lowered in use before the write that hands them back, and raised only after the write that
/// takes them has succeeded.
class LimitEscrow {
public:
    explicit LimitEscrow(Tick&);

    /// Makes the allotments void if contact was lost for so long that others may have reclaimed them. Comes first in
    /// a tick, before newer messages restore the contact.
    void checkContact();
    void handle(const AllotmentsRead&);
    void handle(const AllotmentsWriteFailed&);
    void handle(const MembersListed&);
    /// Notes the end of contact, and writes what has to change. Comes last in a tick.
    void run();

    /// Whether one more request of the team may be started.
    bool allowsStart(const TeamId&) const;
    /// Units of the team that this daemon may use now.
    int usableUnits(const TeamId&) const;

private:
    int equalShare(const TeamId&) const;
    bool settlesOlderWrites(const AllotmentsRead&) const;
    /// Whether units may be needed or are to be handed back before the next quiet plan.
    bool needsPlan() const;
    void write();
    void updateShutdownState();
    /// Whether only units of work whose end is not known are left.
    bool hasHandedBack() const;

    Tick& tick;
    EscrowState& state;
};

} // namespace Greengage
