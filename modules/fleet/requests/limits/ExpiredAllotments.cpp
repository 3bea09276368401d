#include <fleet/requests/limits/ExpiredAllotments.h>

#include <algorithm>
#include <fleet/requests/messages/RunningReported.h>
#include <fleet/requests/sharing/SlotShares.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// How long an incarnation must have been neither listed nor seen before its allotments may be reclaimed.
constexpr Milliseconds reclaimDelay { 8000 };
/// How recently the daemon that reclaims must have had contact with the store and the peers.
constexpr Milliseconds contactBound { 3000 };
constexpr Milliseconds askInterval { 1000 };

} // namespace

ExpiredAllotments::ExpiredAllotments(Tick& tick)
    : tick(tick)
    , state(tick.tables.escrow)
{
}

bool ExpiredAllotments::isExpired(const IncarnationId& incarnation) const
{
    const auto& tables = this->tick.tables;
    if (incarnation == tables.self.incarnation || !tables.membersKnown)
        return false;
    auto found = tables.peers.find(incarnation);
    if (found == tables.peers.end())
        return true;
    const auto& peer = found->second;
    return !peer.listed && (peer.lastSeenAt == Instant::min() || peer.lastSeenAt < this->tick.now - contactBound);
}

bool ExpiredAllotments::isResponsible() const
{
    const auto& tables = this->tick.tables;
    auto recent = this->tick.now - contactBound;
    if (!this->state.isMember || this->state.isVoid || tables.storeAnsweredAt < recent || !tables.endpointsKnown)
        return false;
    return std::all_of(tables.peers.begin(), tables.peers.end(), [&](const auto& entry) {
        const auto& [incarnation, peer] = entry;
        return !peer.listed || (peer.lastSeenAt >= recent && tables.self.incarnation < incarnation);
    });
}

void ExpiredAllotments::askEndpoints()
{
    auto& expired = this->state.expired;
    std::erase_if(expired, [&](const auto& entry) { return !this->isExpired(entry.first); });
    bool due = false;
    for (const auto& incarnation : this->state.book.incarnations()) {
        if (!this->isExpired(incarnation))
            continue;
        ExpiredIncarnation found { Deadline::after(this->tick.now, reclaimDelay), {} };
        auto row = expired.try_emplace(incarnation, found).first;
        due = due || row->second.reclaimFrom.hasPassed(this->tick.now);
    }
    if (!due || !this->isResponsible())
        return;
    for (auto& [id, endpoint] : this->tick.tables.endpoints) {
        if (!endpoint.listed || !endpoint.askAgainAt.hasPassed(this->tick.now))
            continue;
        endpoint.askAgainAt = Deadline::after(this->tick.now, askInterval);
        this->tick.outbox.emplace_back(AskRunning { id, endpoint.address, endpoint.port });
    }
}

void ExpiredAllotments::handle(const RunningReported& report)
{
    for (auto& [incarnation, row] : this->state.expired) {
        if (!row.reclaimFrom.hasPassed(report.askedAt))
            continue;
        auto& counts = row.reports[report.endpoint];
        counts.running.clear();
        for (const auto& work : report.running) {
            if (work.incarnation == incarnation)
                counts.running[work.team] += 1;
        }
    }
}

int ExpiredAllotments::countRunning(const ExpiredIncarnation& row, const TeamId& team) const
{
    int running = 0;
    for (const auto& [id, endpoint] : this->tick.tables.endpoints) {
        if (!endpoint.listed)
            continue;
        auto report = row.reports.find(id);
        if (report == row.reports.end()) {
            running += SlotShares::slotsPerEndpoint;
            continue;
        }
        auto count = report->second.running.find(team);
        running += count == report->second.running.end() ? 0 : count->second;
    }
    return running;
}

void ExpiredAllotments::reclaim(AllotmentBook& draft) const
{
    if (!this->isResponsible())
        return;
    for (const auto& [incarnation, row] : this->state.expired) {
        if (!row.reclaimFrom.hasPassed(this->tick.now))
            continue;
        for (const auto& team : draft.teamsOf(incarnation)) {
            int units = draft.unitsOf(team, incarnation);
            draft.assign(team, incarnation, std::min(units, this->countRunning(row, team)));
        }
    }
}

} // namespace Greengage
