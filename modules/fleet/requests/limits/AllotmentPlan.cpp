#include <fleet/requests/limits/AllotmentPlan.h>

#include <algorithm>
#include <fleet/requests/limits/EscrowState.h>
#include <fleet/requests/limits/TeamDemandView.h>
#include <fleet/requests/sharing/DaemonDemand.h>
#include <fleet/requests/sharing/ProportionalDivision.h>
#include <fleet/requests/tables/RequestTables.h>
#include <limits>
#include <numeric>

namespace Greengage {

namespace {

/// Time over which the peak use is observed before surplus units are handed back.
constexpr Milliseconds peakWindow { 5000 };
/// Divisor of the fair share: an allotment may exceed its fair share by this fraction before units are handed back.
constexpr int fairShareTolerance = 8;

} // namespace

AllotmentPlan::AllotmentPlan(Tick& tick)
    : tick(tick)
    , state(tick.tables.escrow)
    , demand(tick)
{
}

AllotmentBook AllotmentPlan::draft() const
{
    const auto& tables = this->tick.tables;
    const auto& self = tables.self.incarnation;
    auto draft = this->state.book;
    for (const auto& team : draft.teamsOf(self)) {
        if (!tables.findTeam(team))
            draft.assign(team, self, std::min(draft.unitsOf(team, self), tables.usageOf(team).running));
    }
    for (const auto& team : tables.document->teams)
        draft.assign(team.name, self, this->plan(team));
    return draft;
}

TeamDemandView AllotmentPlan::viewOf(const Team& team) const
{
    const auto& tables = this->tick.tables;
    TeamDemandView view;
    view.team = team.name;
    view.limit = team.limit;
    view.held = this->state.book.unitsOf(team.name, tables.self.incarnation);
    view.free = team.limit - this->state.book.sumOf(team.name);
    view.running = tables.usageOf(team.name).running;
    view.waiting = tables.usageOf(team.name).waiting;
    int reachable = view.free + view.held;
    auto daemons = this->demand.ofTeam(team.name);
    view.equalShare = team.limit / this->countMembers(daemons.size());
    std::vector<double> demands;
    auto own = this->demand.ownIndex();
    for (const auto& daemon : daemons) {
        bool isPeer = daemon.incarnation != tables.self.incarnation;
        view.peersWaiting += isPeer ? daemon.waiting : 0;
        view.peerStarves = view.peerStarves || (isPeer && this->starves(daemon, view));
        reachable += isPeer ? this->state.book.unitsOf(team.name, daemon.incarnation) : 0;
        demands.push_back(daemon.running + daemon.waiting);
    }
    double total = std::accumulate(demands.begin(), demands.end(), 0.0);
    view.isShort = total > reachable;
    view.fairShare = view.isShort ? divideByWeight(reachable, demands)[own] : reachable;
    return view;
}

int AllotmentPlan::countMembers(std::size_t live) const
{
    const auto& peers = this->tick.tables.peers;
    auto listed = std::count_if(peers.begin(), peers.end(), [](const auto& entry) { return entry.second.listed; });
    return static_cast<int>(std::max<std::size_t>(live, 1 + static_cast<std::size_t>(listed)));
}

bool AllotmentPlan::starves(const DaemonDemand& daemon, const TeamDemandView& view) const
{
    return daemon.waiting > 0 && 2 * this->state.book.unitsOf(view.team, daemon.incarnation) < view.equalShare;
}

void AllotmentPlan::capStarts(const TeamDemandView& view) const
{
    this->state.teams[view.team].startCap = view.mustShare() ? view.fairShare : std::numeric_limits<int>::max();
}

int AllotmentPlan::plan(const Team& team) const
{
    auto view = this->viewOf(team);
    this->capStarts(view);
    if (view.free < 0 || this->tick.tables.shuttingDown)
        return std::min(view.held, view.running + (this->tick.tables.shuttingDown ? view.waiting : 0));
    if (view.waiting > 0 || view.peersWaiting > 0)
        return this->unitsWhenShort(view);
    return this->unitsWhenIdle(view);
}

int AllotmentPlan::unitsWhenShort(const TeamDemandView& view) const
{
    int wanted = view.running + view.waiting;
    int afterCap = std::max(view.running, view.fairShare);
    if (view.mustShare() && view.held > afterCap)
        return afterCap;
    if (wanted > view.held) {
        int most = view.isShort ? std::max(view.held, view.fairShare) : view.limit;
        return std::max(view.held, std::min({ wanted, most, view.held + view.free }));
    }
    int missing = view.peersWaiting - view.free;
    int kept = std::max(view.running, view.isShort ? view.fairShare + view.fairShare / fairShareTolerance : wanted);
    if (missing <= 0 || view.held <= kept)
        return view.held;
    return view.held - std::min(missing, view.held - kept);
}

int AllotmentPlan::unitsWhenIdle(const TeamDemandView& view) const
{
    int reserve = (view.equalShare + 1) / 2;
    auto& recent = this->state.teams[view.team];
    if (recent.windowEnd == Deadline::never()) {
        recent.peak = view.held;
        recent.windowEnd = Deadline(this->tick.now);
    }
    recent.peak = std::max(recent.peak, view.running);
    if (!recent.windowEnd.hasPassed(this->tick.now))
        return view.held;
    int wanted = recent.peak + reserve;
    recent.peak = view.running;
    recent.windowEnd = Deadline::after(this->tick.now, peakWindow);
    return std::min(wanted, view.held + view.free);
}

} // namespace Greengage
