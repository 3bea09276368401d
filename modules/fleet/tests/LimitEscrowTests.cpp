#include <boost/test/unit_test.hpp>
#include <fleet/requests/limits/AllotmentBook.h>
#include <fleet/requests/sharing/ProportionalDivision.h>
#include <fleet/tests/PlaneFixture.h>
#include <fleet/tests/simulation/SimulatedFleet.h>

using namespace Greengage;

namespace {

constexpr int scheduleSeeds = 40;

std::shared_ptr<Document> makeDocument(std::uint64_t revision, int limit, int endpoints)
{
    auto document = PlaneFixture::makeDocument(revision);
    document->teams[0].limit = limit;
    document->pools[0].vms.clear();
    for (int index = 0; index < endpoints; ++index)
        document->pools[0].vms.emplace_back("e" + std::to_string(index));
    return document;
}

/// Injects random kills, restarts, freezes, network partitions, store outages, lost answers and changes of the limit
/// under the load of one team. Whenever an endpoint starts a request, compares the number of requests that actually run
/// with the limit.
class RandomSchedule {
public:
    explicit RandomSchedule(std::uint64_t seed)
        : fleet(makeOptions(seed))
        , faultPeriod(seed % 2 == 0 ? 60 : 300)
    {
        this->fleet.accept(makeDocument(1, this->limit, this->fleet.options.endpointsPerService));
        for (std::size_t daemon = 0; daemon < this->fleet.daemons.size(); ++daemon)
            this->fleet.start(daemon);
        this->fleet.onBegin = [this](const RunningWork&) {
            int running = this->fleet.runningOf("booking");
            this->worstExcess = std::max(this->worstExcess, running - this->effectiveLimit());
        };
    }

    static FleetOptions makeOptions(std::uint64_t seed)
    {
        FleetOptions options;
        options.seed = seed;
        options.lostWriteAnswers = 0.1;
        options.lateWrites = 0.05;
        options.brokenAttempts = 0.05;
        return options;
    }

    /// The limit in force, or the larger of two while a change may still be in progress.
    int effectiveLimit() const
    {
        bool settled = this->fleet.clock.current() >= this->changedAt + Seconds(5);
        return settled ? this->limit : std::max(this->limit, this->previousLimit);
    }

    void runSteps(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            this->submitLoad();
            this->injectFault();
            this->fleet.run(Milliseconds(100));
        }
    }

    void submitLoad()
    {
        for (int count = 0; count < 8; ++count) {
            auto daemon = static_cast<std::size_t>(this->fleet.pick(this->fleet.options.daemons));
            auto runTime = Milliseconds(20 + this->fleet.pick(this->fleet.pick(40) == 0 ? 30000 : 800));
            this->fleet.submit(daemon, "quotes", "k1", Seconds(4), runTime);
        }
    }

    void injectFault()
    {
        auto daemon = static_cast<std::size_t>(this->fleet.pick(this->fleet.options.daemons));
        auto zone = "z" + std::to_string(this->fleet.pick(this->fleet.options.zones) + 1);
        switch (this->fleet.pick(this->faultPeriod)) {
        case 0:
            this->fleet.kill(daemon);
            this->fleet.after(Milliseconds(500 + this->fleet.pick(5000)), [this, daemon] {
                if (!this->fleet.daemons[daemon].alive)
                    this->fleet.start(daemon);
            });
            break;
        case 1:
            this->fleet.freeze(daemon);
            this->fleet.after(Milliseconds(this->fleet.pick(40000)), [this, daemon] { this->fleet.wake(daemon); });
            break;
        case 2:
            this->fleet.cutZone(zone, true);
            this->fleet.after(
                Milliseconds(this->fleet.pick(40000)), [this, zone] { this->fleet.cutZone(zone, false); });
            break;
        case 3:
            this->fleet.store.down = true;
            this->fleet.after(Milliseconds(this->fleet.pick(10000)), [this] { this->fleet.store.down = false; });
            break;
        case 4:
            this->fleet.daemons[daemon].storeCut = !this->fleet.daemons[daemon].storeCut;
            break;
        case 5:
            this->changeLimit();
            break;
        default:
            break;
        }
    }

    void changeLimit()
    {
        bool settled = this->fleet.clock.current() >= this->changedAt + Seconds(5);
        if (this->fleet.store.down || !settled)
            return;
        this->previousLimit = this->limit;
        this->limit = 5 + this->fleet.pick(40);
        this->changedAt = this->fleet.clock.current();
        this->revision += 1;
        this->fleet.accept(makeDocument(this->revision, this->limit, this->fleet.options.endpointsPerService));
    }

    SimulatedFleet fleet;
    /// Number of steps within which each kind of fault occurs once on average.
    int faultPeriod;
    int limit = 30;
    int previousLimit = 30;
    Instant changedAt = Instant {};
    std::uint64_t revision = 1;
    /// Largest excess over the limit; negative while the limit has never been reached.
    int worstExcess = -1000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LimitEscrowSuite)

BOOST_AUTO_TEST_CASE(divisionIsWholeAndProportional)
{
    BOOST_TEST(divideByWeight(8, { 1, 1, 1 }) == (std::vector<int> { 3, 3, 2 }), boost::test_tools::per_element());
    BOOST_TEST(divideByWeight(5, { 0, 100, 0 }) == (std::vector<int> { 0, 5, 0 }), boost::test_tools::per_element());
    BOOST_TEST(divideByWeight(5, { 0, 0 }) == (std::vector<int> { 0, 0 }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(bookRoundTripsAndRejectsInvalidText)
{
    AllotmentBook book;
    book.assign(TeamId("a"), IncarnationId("i1"), 3);
    book.assign(TeamId("a"), IncarnationId("i2"), 4);
    BOOST_TEST((AllotmentBook::parse(book.format()).value() == book));
    BOOST_TEST(book.sumOf(TeamId("a")) == 7);
    BOOST_TEST(AllotmentBook::parse("{\"teams\":{\"a\":{\"i1\":-1}}}").has_error());
    BOOST_TEST(AllotmentBook::parse("[]").has_error());
}

BOOST_FIXTURE_TEST_CASE(longLossOfContactVoidsAllotmentsUntilAWriteSucceeds, PlaneFixture)
{
    this->startServing();
    this->storeAnswers = false;
    auto renewal = only<UpdateAllotments>(this->wait(Milliseconds(5001)));
    PeerState peer;
    peer.incarnation = IncarnationId("i2");
    peer.zone = ZoneId("z2");
    peer.confirmationAge = Milliseconds(0);
    this->tick(PeerHeard { peer, this->clock.current() });
    BOOST_TEST(renewal.expectedVersion == 1);
    BOOST_TEST(pick<SendAttempt>(this->tick(this->makeRequest("r1", "quotes", "k1"))).empty());
    auto outputs = this->tick(AllotmentsRead { 2, renewal.value, true });
    BOOST_TEST(pick<SendAttempt>(outputs).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(firstDaemonCreatesTheBookWithoutHavingReadOne, PlaneFixture)
{
    this->storeAnswers = false;
    auto update = only<UpdateAllotments>(this->tick(
        { DocumentApplied { makeDocument(1) }, StoreConfirmed { this->clock.current(), 1 }, makeEndpoints() }));
    BOOST_TEST(update.expectedVersion == 0);
    BOOST_TEST(!update.value.empty());
    this->tick(AllotmentsWriteFailed { false });
    BOOST_TEST(pick<SendAttempt>(this->tick(this->makeRequest("r1", "quotes", "k1"))).empty());
    AllotmentsRead others { 5, R"({"teams":{"booking":{"i2":9}}})", false };
    BOOST_TEST(pick<UpdateAllotments>(this->tick(others)).empty());
    BOOST_TEST(only<UpdateAllotments>(this->wait(Milliseconds(50))).expectedVersion == 5);
}

BOOST_FIXTURE_TEST_CASE(lostWriteRaceIsRetriedWithoutBackoff, PlaneFixture)
{
    this->startServing();
    this->storeAnswers = false;
    std::uint64_t version = 2;
    for (int lost = 0; lost < 6; ++lost, ++version) {
        this->tick(AllotmentsRead { version, R"({"teams":{"booking":{"i2":9}}})", false });
        this->tick(this->makeRequest("r" + std::to_string(lost), "quotes", "k1"));
        auto update = only<UpdateAllotments>(this->wait(Milliseconds(50)));
        BOOST_TEST(update.expectedVersion == version);
        this->tick(AllotmentsRead { version + 1, R"({"teams":{"booking":{"i2":8}}})", false });
        this->tick(AllotmentsWriteFailed { false });
    }
}

BOOST_FIXTURE_TEST_CASE(reclaimedAllotmentAllowsNoStarts, PlaneFixture)
{
    this->startServing();
    this->storeAnswers = false;
    this->tick(AllotmentsRead { 2, R"({"teams":{"booking":{"i2":10}}})", false });
    BOOST_TEST(pick<SendAttempt>(this->tick(this->makeRequest("r1", "quotes", "k1"))).empty());
    AllotmentsRead older { 1, R"({"teams":{"booking":{"i1":10}}})", false };
    BOOST_TEST(pick<SendAttempt>(this->tick(older)).empty());
}

BOOST_FIXTURE_TEST_CASE(returnedUnitsStayUnusedUntilALostWriteIsSettled, PlaneFixture)
{
    this->startServing();
    this->storeAnswers = false;
    PeerState peer;
    peer.incarnation = IncarnationId("i2");
    peer.zone = ZoneId("z2");
    peer.demand = { TeamDemand { QueueId("quotes"), TeamId("booking"), 0, 6 } };
    this->clock.advance(Milliseconds(50));
    auto handBack = only<UpdateAllotments>(this->tick(PeerHeard { peer, this->clock.current() }));
    BOOST_TEST(handBack.value.find(R"("booking":{"i1":4})") != std::string::npos);
    this->tick(AllotmentsWriteFailed { true });
    auto countSent = [&](RequestInput last) {
        std::vector<RequestInput> inputs;
        for (int index = 0; index < 10; ++index) {
            this->requests += 1;
            inputs.emplace_back(this->makeRequest("r" + std::to_string(this->requests), "quotes", "k1"));
        }
        inputs.push_back(std::move(last));
        return pick<SendAttempt>(this->tick(inputs)).size();
    };
    BOOST_TEST(countSent(AllotmentsRead { 1, R"({"teams":{"booking":{"i1":10}}})", false }) == 4);
    BOOST_TEST(countSent(AllotmentsRead { 2, R"({"teams":{"booking":{"i1":10}}})", false }) == 6);
}

BOOST_AUTO_TEST_CASE(allotmentOfAnExpiredDaemonStaysReservedWhileItsWorkRuns)
{
    FleetOptions options;
    SimulatedFleet fleet(options);
    fleet.accept(makeDocument(1, 10, options.endpointsPerService));
    for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon)
        fleet.start(daemon);
    int mostRunning = 0;
    fleet.onBegin = [&](const RunningWork&) { mostRunning = std::max(mostRunning, fleet.runningOf("booking")); };
    fleet.run(Seconds(3));
    for (int count = 0; count < 10; ++count)
        fleet.submit(0, "quotes", "k1", Seconds(20), Seconds(90));
    fleet.run(Seconds(2));
    BOOST_TEST(fleet.runningOf("booking") == 10);
    fleet.kill(0);
    auto loadFor = [&](int seconds) {
        for (int step = 0; step < seconds * 10; ++step) {
            fleet.submit(1 + static_cast<std::size_t>(step % 6), "quotes", "k1", Seconds(2), Milliseconds(900));
            fleet.run(Milliseconds(100));
        }
    };
    loadFor(80);
    BOOST_TEST(fleet.runningOf("booking") == 10);
    loadFor(20);
    BOOST_TEST(mostRunning == 10);
    BOOST_TEST(fleet.store.value.find("i1001") == std::string::npos);
    BOOST_TEST(fleet.runningOf("booking") >= 8);
}

BOOST_AUTO_TEST_CASE(limitHoldsInRandomSchedules)
{
    int reached = 0;
    for (std::uint64_t seed = 1; seed <= scheduleSeeds; ++seed) {
        RandomSchedule schedule(seed);
        schedule.runSteps(1200);
        BOOST_TEST(schedule.worstExcess <= 0, "seed " << seed << " exceeded the limit by " << schedule.worstExcess);
        reached += schedule.worstExcess == 0 ? 1 : 0;
        auto answered = std::count_if(schedule.fleet.records.begin(), schedule.fleet.records.end(),
            [](const OutcomeRecord& record) { return record.ended && record.outcome == Outcome::Answered; });
        BOOST_TEST(answered > 100, "seed " << seed << " answered only " << answered);
        auto untrue = std::count_if(schedule.fleet.records.begin(), schedule.fleet.records.end(),
            [](const OutcomeRecord& record) { return record.reportedNotRun() && record.begun > 0; });
        BOOST_TEST(untrue == 0,
            "seed " << seed << ": " << untrue
                    << " requests were answered \"not run\" although an endpoint had started them");
    }
    BOOST_TEST(reached > scheduleSeeds / 2);
}

BOOST_AUTO_TEST_SUITE_END()
