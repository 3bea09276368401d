#pragma once

#include <config/model/Document.h>
#include <core/time/ManualClock.h>
#include <fleet/tests/simulation/FakeAllotmentStore.h>
#include <fleet/tests/simulation/FakeEndpoint.h>
#include <fleet/tests/simulation/FleetOptions.h>
#include <fleet/tests/simulation/OutcomeRecord.h>
#include <fleet/tests/simulation/SimulatedDaemon.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Greengage {

/// Several request planes on one virtual clock, with a fake store, fake endpoints and a network that can be
/// partitioned. The same seed gives the same history.
class SimulatedFleet {
public:
    explicit SimulatedFleet(const FleetOptions&);

    /// Puts a document in force.
    void accept(std::shared_ptr<const Document>);
    /// Advances the virtual clock and runs the events that fall due.
    void run(Microseconds span);
    /// Schedules a call of a function after a delay.
    void after(Microseconds delay, std::function<void()>);

    /// Sends a request to a daemon; it runs for `runTime` once started. Returns the index of its record.
    std::size_t submit(std::size_t daemon, const std::string& queue, const std::string& key, Microseconds timeout,
        Microseconds runTime, const std::string& idempotencyKey = {});

    void start(std::size_t daemon);
    void kill(std::size_t daemon);
    void freeze(std::size_t daemon);
    void wake(std::size_t daemon);
    void stop(std::size_t daemon);
    void cutZone(const std::string& zone, bool cut);

    int runningOf(const std::string& team) const;
    double uniform();
    int pick(int count);

    ManualClock clock;
    FleetOptions options;
    FakeAllotmentStore store;
    std::vector<SimulatedDaemon> daemons;
    std::vector<FakeEndpoint> endpoints;
    std::vector<OutcomeRecord> records;
    std::set<VmId> draining;
    /// Called when an endpoint starts a request.
    std::function<void(const RunningWork&)> onBegin;

private:
    bool connected(const ZoneId&, const ZoneId&) const;
    bool reachesStore(const SimulatedDaemon&) const;
    void deliver(std::size_t daemon, const IncarnationId&, RequestInput);
    void tick(std::size_t daemon, std::vector<RequestInput>);
    void repeat(std::size_t daemon, const IncarnationId&, Microseconds interval, std::function<void()>);
    void exchangeWithPeers(std::size_t daemon);
    void exchange(std::size_t from, std::size_t to, Instant askedAt);
    void receiveState(std::size_t daemon, const PeerState&, Instant askedAt);
    void readStore(std::size_t daemon);
    void listMembers(std::size_t daemon);
    void announceAllotments();

    void execute(std::size_t daemon, const SendAttempt&);
    void execute(std::size_t daemon, const AnswerCaller&);
    void execute(std::size_t daemon, const WriteClaim&);
    void execute(std::size_t daemon, const UpdateAllotments&);
    void execute(std::size_t daemon, const AskRunning&);

    void sendFirstByte(std::size_t daemon, const IncarnationId&, const SendAttempt&);
    void receiveAttempt(std::size_t daemon, const IncarnationId&, const SendAttempt&);
    void endAttempt(std::size_t daemon, const IncarnationId&, const SendAttempt&, AttemptResult);
    FakeEndpoint& endpointOf(const VmId&);

    std::mt19937_64 random;
    std::multimap<Instant, std::function<void()>> events;
    std::vector<std::shared_ptr<const Document>> documents;
    std::map<RequestId, Microseconds> runTimes;
    std::set<std::string> claims;
    std::set<ZoneId> cutZones;
    int incarnations = 0;
};

} // namespace Greengage
