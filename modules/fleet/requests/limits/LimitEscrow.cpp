#include <fleet/requests/limits/LimitEscrow.h>

#include <algorithm>
#include <fleet/requests/freshness/FreshnessFence.h>
#include <fleet/requests/limits/AllotmentPlan.h>
#include <fleet/requests/limits/ExpiredAllotments.h>
#include <fleet/requests/messages/AllotmentsRead.h>
#include <fleet/requests/messages/AllotmentsWriteFailed.h>
#include <fleet/requests/messages/MembersListed.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// How long contact may be lost before this daemon's allotments count as void. Must be well below the time after which
/// others may reclaim them.
constexpr Milliseconds contactGrace { 2000 };
constexpr Milliseconds writeInterval { 50 };
constexpr Milliseconds planInterval { 10 };
/// How often allotments are planned again while no request waits and the last plan changed nothing.
constexpr Milliseconds quietPlanInterval { 250 };
constexpr Milliseconds firstRetryDelay { 200 };
constexpr Milliseconds longestRetryDelay { 2000 };
constexpr Milliseconds handBackTimeout { 3000 };

Milliseconds retryDelay(int failedWrites)
{
    auto delay = firstRetryDelay * (1 << std::min(failedWrites, 4));
    return std::min(delay, longestRetryDelay);
}

} // namespace

LimitEscrow::LimitEscrow(Tick& tick)
    : tick(tick)
    , state(tick.tables.escrow)
{
}

void LimitEscrow::checkContact()
{
    bool hadContact = this->state.contactEnd != Instant::min();
    if (hadContact && this->state.contactEnd < this->tick.now - contactGrace)
        this->state.isVoid = true;
}

void LimitEscrow::handle(const MembersListed& listed)
{
    const auto& self = this->tick.tables.self.incarnation;
    this->state.isMember = std::any_of(listed.members.begin(), listed.members.end(),
        [&](const PeerSighting& member) { return member.incarnation == self; });
    this->state.wasMember = this->state.wasMember || this->state.isMember;
    if (this->state.wasMember && !this->state.isMember)
        this->state.isVoid = true;
}

bool LimitEscrow::settlesOlderWrites(const AllotmentsRead& read) const
{
    return read.ownWrite || (!this->state.writeUnderWay && read.version > this->state.writeExpects);
}

void LimitEscrow::handle(const AllotmentsRead& read)
{
    if (this->settlesOlderWrites(read)) {
        this->state.unsettled = false;
        this->state.ceilings.clear();
    }
    if (read.ownWrite) {
        this->state.writeUnderWay = false;
        this->state.failedWrites = 0;
        if (this->state.writeRenews)
            this->state.isVoid = this->state.wasMember && !this->state.isMember;
    }
    if (read.version <= this->state.version)
        return;
    this->state.version = read.version;
    auto book = AllotmentBook::parse(read.value);
    this->state.readable = book.has_value();
    if (!book.has_value())
        return;
    this->state.book = std::move(book).value();
    this->state.nextWriteAt = Deadline::after(this->tick.now, writeInterval);
}

void LimitEscrow::handle(const AllotmentsWriteFailed& failed)
{
    this->state.writeUnderWay = false;
    this->state.unsettled = this->state.unsettled || failed.mayHaveTakenEffect;
    if (!this->state.unsettled)
        this->state.ceilings.clear();
    if (!failed.mayHaveTakenEffect && this->state.version > this->state.writeExpects) {
        // Another daemon wrote first. Backing off here would leave the value to daemons that already win the races.
        this->state.nextWriteAt = Deadline::after(this->tick.now, writeInterval);
        return;
    }
    this->state.nextWriteAt = Deadline::after(this->tick.now, retryDelay(this->state.failedWrites));
    this->state.failedWrites += 1;
}

int LimitEscrow::usableUnits(const TeamId& team) const
{
    if (this->tick.tables.policy.limits == LimitSplit::EqualParts)
        return this->equalShare(team);
    if (!this->state.readable || this->state.isVoid)
        return 0;
    int units = this->state.book.unitsOf(team, this->tick.tables.self.incarnation);
    auto ceiling = this->state.ceilings.find(team);
    return ceiling == this->state.ceilings.end() ? units : std::min(units, ceiling->second);
}

int LimitEscrow::equalShare(const TeamId& name) const
{
    const auto& peers = this->tick.tables.peers;
    auto listed = std::count_if(peers.begin(), peers.end(), [](const auto& entry) { return entry.second.listed; });
    const Team* team = this->tick.tables.findTeam(name);
    return team ? team->limit / (1 + static_cast<int>(listed)) : 0;
}

bool LimitEscrow::allowsStart(const TeamId& name) const
{
    const Team* team = this->tick.tables.findTeam(name);
    if (!team)
        return true;
    if (this->state.book.sumOf(name) > team->limit)
        return false;
    int units = this->usableUnits(name);
    auto teamEscrow = this->state.teams.find(name);
    if (teamEscrow != this->state.teams.end())
        units = std::min(units, teamEscrow->second.startCap);
    return this->tick.tables.usageOf(name).running < units;
}

void LimitEscrow::run()
{
    this->state.contactEnd = FreshnessFence(this->tick).contactEnd();
    this->updateShutdownState();
    ExpiredAllotments(this->tick).askEndpoints();
    bool mayWrite = this->state.readable && !this->state.writeUnderWay && this->tick.tables.document
        && this->state.nextWriteAt.hasPassed(this->tick.now) && this->state.nextPlanAt.hasPassed(this->tick.now);
    if (mayWrite && (this->state.quietUntil.hasPassed(this->tick.now) || this->needsPlan()))
        this->write();
}

bool LimitEscrow::needsPlan() const
{
    const auto& tables = this->tick.tables;
    if (tables.shuttingDown || this->state.isVoid || this->state.unsettled)
        return true;
    auto waits = [](const auto& entry) { return entry.second.waiting > 0; };
    if (std::any_of(tables.teamQueues.begin(), tables.teamQueues.end(), waits))
        return true;
    auto peerWaits = [](const auto& entry) {
        const auto& demand = entry.second.state.demand;
        return std::any_of(
            demand.begin(), demand.end(), [](const TeamDemand& teamDemand) { return teamDemand.waiting > 0; });
    };
    return std::any_of(tables.peers.begin(), tables.peers.end(), peerWaits);
}

void LimitEscrow::write()
{
    const auto& self = this->tick.tables.self.incarnation;
    this->state.nextPlanAt = Deadline::after(this->tick.now, planInterval);
    auto draft = AllotmentPlan(this->tick).draft();
    ExpiredAllotments(this->tick).reclaim(draft);
    bool mustWrite = this->state.isVoid || this->state.unsettled;
    if (draft == this->state.book && !mustWrite) {
        this->state.quietUntil = Deadline::after(this->tick.now, quietPlanInterval);
        return;
    }
    for (const auto& team : this->state.book.teamsOf(self)) {
        int units = draft.unitsOf(team, self);
        if (units >= this->state.book.unitsOf(team, self))
            continue;
        auto ceiling = this->state.ceilings.try_emplace(team, units).first;
        ceiling->second = std::min(ceiling->second, units);
    }
    this->state.writeUnderWay = true;
    this->state.writeExpects = this->state.version;
    this->state.writeRenews = this->state.isVoid;
    this->tick.outbox.emplace_back(UpdateAllotments { this->state.version, draft.format() });
}

void LimitEscrow::updateShutdownState()
{
    auto& tables = this->tick.tables;
    if (!tables.shuttingDown || !tables.requests.empty())
        return;
    if (this->state.handBackBy == Deadline::never())
        this->state.handBackBy = Deadline::after(this->tick.now, handBackTimeout);
    tables.idle = this->hasHandedBack() || this->state.handBackBy.hasPassed(this->tick.now);
}

bool LimitEscrow::hasHandedBack() const
{
    const auto& tables = this->tick.tables;
    const auto& self = tables.self.incarnation;
    auto teams = this->state.book.teamsOf(self);
    return !this->state.writeUnderWay && !this->state.unsettled
        && std::all_of(teams.begin(), teams.end(),
            [&](const TeamId& team) { return this->state.book.unitsOf(team, self) <= tables.usageOf(team).running; });
}

} // namespace Greengage
