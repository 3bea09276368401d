#include <boost/test/unit_test.hpp>
#include <fleet/requests/sharing/LiveDemand.h>
#include <fleet/requests/sharing/SlotShares.h>
#include <fleet/requests/tables/RequestTables.h>
#include <fleet/tests/PlaneFixture.h>
#include <random>

using namespace Greengage;

namespace {

constexpr Instant now { Seconds(100) };

/// Tables of one of several daemons that know each other's demand.
RequestTables makeTables(std::size_t own, const std::vector<int>& demands, int endpoints)
{
    RequestTables tables;
    auto document = PlaneFixture::makeDocument(1);
    tables.apply(document);
    for (int index = 0; index < endpoints; ++index) {
        auto& endpoint = tables.endpoints[VmId("e" + std::to_string(index))];
        endpoint.service = ServiceId("pricing");
        endpoint.open = true;
    }
    for (std::size_t index = 0; index < demands.size(); ++index) {
        IncarnationId incarnation("i" + std::to_string(index));
        if (index == own) {
            tables.self.incarnation = incarnation;
            tables.teamQueues[TeamQueueKey { QueueId("quotes"), TeamId("booking") }].waiting = demands[index];
            continue;
        }
        auto& peer = tables.peers[incarnation];
        peer.directlySeenAt = now;
        peer.state.incarnation = incarnation;
        peer.state.demand = { TeamDemand { QueueId("quotes"), TeamId("booking"), demands[index], 0 } };
    }
    return tables;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Sharing)

BOOST_AUTO_TEST_CASE(daemonsWithTheSameDemandDataNeverOvercommitAnEndpoint)
{
    std::mt19937 random(7);
    for (int round = 0; round < 300; ++round) {
        std::vector<int> demands(1 + random() % 9);
        for (auto& demand : demands)
            demand = static_cast<int>(random() % 3 == 0 ? random() % 200 : random() % 4);
        int endpoints = 1 + static_cast<int>(random() % 12);
        std::map<VmId, int> used;
        int total = 0;
        for (std::size_t own = 0; own < demands.size(); ++own) {
            auto tables = makeTables(own, demands, endpoints);
            std::vector<RequestOutput> outbox;
            Tick tick { tables, now, outbox };
            LiveDemand demand(tick);
            SlotShares shares(tick, demand);
            for (const auto& [id, endpoint] : tables.endpoints) {
                used[id] += shares.slotsAt(id, endpoint.service);
                total += shares.slotsAt(id, endpoint.service);
            }
        }
        for (const auto& [id, count] : used)
            BOOST_TEST(count <= SlotShares::slotsPerEndpoint);
        BOOST_TEST(total == SlotShares::slotsPerEndpoint * endpoints);
    }
}

BOOST_AUTO_TEST_CASE(slotsAreDividedByDemandOnceItExceedsThem)
{
    BOOST_TEST(
        SlotShares::divide(80, { 300, 100, 0 }) == (std::vector<int> { 60, 20, 0 }), boost::test_tools::per_element());
    BOOST_TEST(SlotShares::divide(80, { 10, 0 }) == (std::vector<int> { 45, 35 }), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(teamThatRunsLeastInTheFleetStartsFirst, PlaneFixture)
{
    this->startServing();
    this->tick(EndpointsListed {});
    PeerState peer;
    peer.incarnation = IncarnationId("i2");
    peer.zone = ZoneId("z2");
    peer.demand = { TeamDemand { QueueId("quotes"), TeamId("booking"), 3, 0 } };
    this->tick(PeerHeard { peer, this->clock.current() });
    this->tick(this->makeRequest("r1", "quotes", "k1"));
    this->tick(this->makeRequest("r2", "quotes", "k2"));
    this->tick(this->makeRequest("r3", "quotes", "k2"));
    auto sent = pick<SendAttempt>(this->tick(makeEndpoints()));
    BOOST_TEST(sent.size() == 3);
    BOOST_TEST(sent[0].team.string() == "lights");
    BOOST_TEST(sent[1].team.string() == "lights");
    BOOST_TEST(sent[2].team.string() == "booking");
}

BOOST_FIXTURE_TEST_CASE(urgentRequestsStartBeforeBatchRequests, PlaneFixture)
{
    this->startServing();
    auto document = makeDocument(2);
    document->queues[0].priority = Priority::Urgent;
    document->queues[1].priority = Priority::Batch;
    this->tick(DocumentApplied { document });
    this->tick(EndpointsListed {});
    this->tick(this->makeRequest("r1", "orders", "k1"));
    this->clock.advance(Milliseconds(1));
    this->tick(this->makeRequest("r2", "quotes", "k2"));
    auto sent = pick<SendAttempt>(this->tick(makeEndpoints()));
    BOOST_TEST(sent.size() == 2);
    BOOST_TEST(sent[0].request.string() == "r2");
}

BOOST_FIXTURE_TEST_CASE(fullTeamQueueRefusesOnlyItsTeam, PlaneFixture)
{
    this->startServing();
    this->tick(EndpointsListed {});
    for (int index = 0; index < 256; ++index)
        this->tick(this->makeRequest("a" + std::to_string(index), "quotes", "k1"));
    auto refused = only<AnswerCaller>(this->tick(this->makeRequest("b", "quotes", "k1")));
    BOOST_TEST((refused.reason == OutcomeReason::QueueFull));
    BOOST_TEST(pick<AnswerCaller>(this->tick(this->makeRequest("c", "quotes", "k2"))).empty());
}

BOOST_AUTO_TEST_SUITE_END()
