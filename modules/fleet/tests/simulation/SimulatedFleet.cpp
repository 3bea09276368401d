#include <fleet/tests/simulation/SimulatedFleet.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr Milliseconds tickInterval { 50 };
constexpr Milliseconds exchangeInterval { 500 };
constexpr Milliseconds storeInterval { 500 };
constexpr Milliseconds listInterval { 1000 };
constexpr Seconds leaseSpan { 10 };

} // namespace

SimulatedFleet::SimulatedFleet(const FleetOptions& options)
    : options(options)
    , random(options.seed)
{
    for (int index = 0; index < options.endpointsPerService; ++index) {
        FakeEndpoint endpoint;
        auto zone = "z" + std::to_string(index % options.zones + 1);
        endpoint.vm = VmRecord { VmId("e" + std::to_string(index)), "127.2.1.1", 1000, ZoneId(zone), RackId("r"),
            VmState::Live };
        this->endpoints.push_back(endpoint);
    }
    this->daemons.resize(static_cast<std::size_t>(options.daemons));
}

double SimulatedFleet::uniform() { return static_cast<double>(this->random() >> 11) / 9007199254740992.0; }

int SimulatedFleet::pick(int count) { return static_cast<int>(this->uniform() * count); }

void SimulatedFleet::after(Microseconds delay, std::function<void()> action)
{
    this->events.emplace(this->clock.current() + delay, std::move(action));
}

void SimulatedFleet::run(Microseconds span)
{
    auto end = this->clock.current() + span;
    while (!this->events.empty() && this->events.begin()->first <= end) {
        auto event = this->events.begin();
        this->clock.advance(std::max(Microseconds::zero(), event->first - this->clock.current()));
        auto action = std::move(event->second);
        this->events.erase(event);
        action();
    }
    this->clock.advance(end - this->clock.current());
}

void SimulatedFleet::accept(std::shared_ptr<const Document> document)
{
    this->documents.push_back(std::move(document));
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        if (this->daemons[index].alive)
            this->readStore(index);
    }
}

void SimulatedFleet::start(std::size_t index)
{
    auto& daemon = this->daemons[index];
    this->incarnations += 1;
    daemon = SimulatedDaemon();
    daemon.identity.daemon = DaemonId("d" + std::to_string(index));
    daemon.identity.incarnation = IncarnationId("i" + std::to_string(1000 + this->incarnations));
    daemon.identity.zone = ZoneId("z" + std::to_string(static_cast<int>(index) % this->options.zones + 1));
    daemon.plane = std::make_unique<RequestPlane>(daemon.identity, this->options.policy);
    daemon.alive = true;
    auto incarnation = daemon.identity.incarnation;
    this->listMembers(index);
    this->readStore(index);
    if (this->reachesStore(daemon))
        this->deliver(index, incarnation, AllotmentsRead { this->store.version, this->store.value, false });
    auto jitter = Microseconds(this->pick(40000));
    this->after(jitter, [=, this] {
        this->repeat(index, incarnation, tickInterval, [=, this] { this->tick(index, {}); });
        this->repeat(index, incarnation, exchangeInterval, [=, this] { this->exchangeWithPeers(index); });
        this->repeat(index, incarnation, storeInterval, [=, this] { this->readStore(index); });
        this->repeat(index, incarnation, listInterval, [=, this] { this->listMembers(index); });
    });
}

void SimulatedFleet::repeat(
    std::size_t index, const IncarnationId& incarnation, Microseconds interval, std::function<void()> action)
{
    this->after(interval, [=, this] {
        const auto& daemon = this->daemons[index];
        if (!daemon.alive || daemon.identity.incarnation != incarnation)
            return;
        if (daemon.isRunning())
            action();
        this->repeat(index, incarnation, interval, action);
    });
}

void SimulatedFleet::kill(std::size_t index) { this->daemons[index].alive = false; }

void SimulatedFleet::freeze(std::size_t index) { this->daemons[index].frozen = true; }

void SimulatedFleet::wake(std::size_t index)
{
    auto& daemon = this->daemons[index];
    if (!daemon.alive || !daemon.frozen)
        return;
    daemon.frozen = false;
    auto pendingInputs = std::move(daemon.pendingInputs);
    daemon.pendingInputs.clear();
    this->tick(index, std::move(pendingInputs));
}

void SimulatedFleet::stop(std::size_t index)
{
    if (this->daemons[index].alive)
        this->deliver(index, this->daemons[index].identity.incarnation, ShutdownRequested {});
}

void SimulatedFleet::cutZone(const std::string& zone, bool cut)
{
    if (cut)
        this->cutZones.insert(ZoneId(zone));
    else
        this->cutZones.erase(ZoneId(zone));
}

bool SimulatedFleet::connected(const ZoneId& first, const ZoneId& second) const
{
    return first == second || (!this->cutZones.contains(first) && !this->cutZones.contains(second));
}

bool SimulatedFleet::reachesStore(const SimulatedDaemon& daemon) const
{
    return !this->store.down && !daemon.storeCut && !this->cutZones.contains(daemon.identity.zone);
}

void SimulatedFleet::deliver(std::size_t index, const IncarnationId& incarnation, RequestInput input)
{
    auto& daemon = this->daemons[index];
    if (!daemon.alive || daemon.identity.incarnation != incarnation)
        return;
    if (daemon.frozen)
        daemon.pendingInputs.push_back(std::move(input));
    else
        this->tick(index, { std::move(input) });
}

void SimulatedFleet::tick(std::size_t index, std::vector<RequestInput> inputs)
{
    auto& daemon = this->daemons[index];
    auto outputs = daemon.plane->tick(this->clock.current(), std::move(inputs));
    for (const auto& output : outputs)
        std::visit([&](const auto& message) { this->execute(index, message); }, output);
    if (daemon.plane->isIdle())
        daemon.alive = false;
}

void SimulatedFleet::exchangeWithPeers(std::size_t index)
{
    for (std::size_t peer = 0; peer < this->daemons.size(); ++peer) {
        if (peer != index)
            this->exchange(index, peer, this->clock.current());
    }
}

void SimulatedFleet::exchange(std::size_t from, std::size_t to, Instant askedAt)
{
    auto requester = this->daemons[from].identity.incarnation;
    this->after(this->options.networkDelay, [=, this] {
        const auto& peer = this->daemons[to];
        if (!peer.isRunning() || !this->connected(this->daemons[from].identity.zone, peer.identity.zone))
            return;
        auto answer = peer.plane->describe(this->clock.current());
        this->after(this->options.networkDelay, [=, this] {
            if (this->daemons[from].identity.incarnation == requester)
                this->receiveState(from, answer, askedAt);
        });
    });
}

void SimulatedFleet::receiveState(std::size_t index, const PeerState& state, Instant askedAt)
{
    auto& daemon = this->daemons[index];
    this->deliver(index, daemon.identity.incarnation, PeerHeard { state, askedAt });
    if (!daemon.isRunning() || state.appliedRevision <= daemon.appliedRevision)
        return;
    for (const auto& document : this->documents) {
        if (document->revision == state.appliedRevision)
            this->deliver(index, daemon.identity.incarnation, DocumentApplied { document });
    }
    daemon.appliedRevision = state.appliedRevision;
}

void SimulatedFleet::readStore(std::size_t index)
{
    auto askedAt = this->clock.current();
    auto incarnation = this->daemons[index].identity.incarnation;
    if (!this->reachesStore(this->daemons[index]) || this->documents.empty())
        return;
    auto document = this->documents.back();
    this->after(this->options.storeDelay, [=, this] {
        this->deliver(index, incarnation, DocumentApplied { document });
        this->deliver(index, incarnation, StoreConfirmed { askedAt, document->revision });
        this->daemons[index].appliedRevision = std::max(this->daemons[index].appliedRevision, document->revision);
    });
}

void SimulatedFleet::listMembers(std::size_t index)
{
    auto& daemon = this->daemons[index];
    auto incarnation = daemon.identity.incarnation;
    EndpointsListed listed;
    listed.draining = this->draining;
    for (const auto& endpoint : this->endpoints)
        listed.vms.push_back(endpoint.vm);
    if (!this->cutZones.contains(daemon.identity.zone))
        this->deliver(index, incarnation, listed);
    if (!this->reachesStore(daemon))
        return;
    daemon.leaseEnd = this->clock.current() + leaseSpan;
    MembersListed members;
    for (const auto& member : this->daemons) {
        if (member.leaseEnd > this->clock.current())
            members.members.push_back(PeerSighting { member.identity.incarnation, member.identity.zone, {} });
    }
    this->deliver(index, incarnation, members);
}

void SimulatedFleet::announceAllotments()
{
    AllotmentsRead read { this->store.version, this->store.value, false };
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        auto incarnation = this->daemons[index].identity.incarnation;
        auto delay = this->options.networkDelay + Microseconds(this->pick(5000));
        this->after(delay, [=, this] {
            if (this->reachesStore(this->daemons[index]))
                this->deliver(index, incarnation, read);
        });
    }
}

int SimulatedFleet::runningOf(const std::string& team) const
{
    int running = 0;
    for (const auto& endpoint : this->endpoints) {
        for (const auto& [id, work] : endpoint.running)
            running += work.team.string() == team ? 1 : 0;
    }
    return running;
}

} // namespace Greengage
