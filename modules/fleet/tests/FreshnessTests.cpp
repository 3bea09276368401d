#include <boost/test/unit_test.hpp>
#include <fleet/tests/PlaneFixture.h>

using namespace Greengage;

namespace {

class FreshnessFixture : public PlaneFixture {
public:
    FreshnessFixture() { this->startServing(); }

    /// Delivers the state of a peer that has applied the revision, with the given observations.
    void receiveState(const std::string& incarnation, const std::string& zone, std::uint64_t revision = 1,
        Milliseconds confirmationAge = Milliseconds::max(), std::vector<PeerSighting> sightings = {})
    {
        PeerState state;
        state.incarnation = IncarnationId(incarnation);
        state.zone = ZoneId(zone);
        state.appliedRevision = revision;
        state.knownRevision = revision;
        state.confirmationAge = confirmationAge;
        state.sightings = std::move(sightings);
        this->tick(PeerHeard { state, this->clock.current() });
    }

    static PeerSighting member(const std::string& incarnation, const std::string& zone)
    {
        return PeerSighting { IncarnationId(incarnation), ZoneId(zone), {} };
    }

    void listMembers()
    {
        this->tick(
            MembersListed { { member("i1", "z1"), member("i2", "z2"), member("i3", "z3"), member("i4", "z3") } });
    }

    /// Submits a keyed request now; returns "sent", or the reason of its refusal.
    std::string submitKeyed()
    {
        this->requests += 1;
        auto outputs = this->tick(this->makeRequest("t" + std::to_string(this->requests), "quotes", "k1"));
        auto sent = pick<SendAttempt>(outputs);
        if (sent.empty())
            return std::string(nameOf(only<AnswerCaller>(outputs).reason));
        this->tick(ended(sent.front(), AttemptResult::Answered));
        this->notAfter = sent.front().notAfter;
        return "sent";
    }

    Deadline notAfter;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Freshness, FreshnessFixture)

BOOST_AUTO_TEST_CASE(confirmationPermitsKeyedWorkForThreeSecondsFromTheRequest)
{
    this->clock.advance(Milliseconds(2999));
    BOOST_TEST(this->submitKeyed() == "sent");
    BOOST_TEST((this->notAfter.at() == this->clock.current() + Milliseconds(1)));
    this->clock.advance(Milliseconds(1));
    BOOST_TEST(this->submitKeyed() == "configuration_stale");
    auto open = this->tick(this->makeRequest("o", "open", ""));
    BOOST_TEST(pick<SendAttempt>(open).size() == 1);
    this->tick(StoreConfirmed { this->clock.current() - Milliseconds(3000), 1 });
    BOOST_TEST(this->submitKeyed() == "configuration_stale");
}

BOOST_AUTO_TEST_CASE(relayedConfirmationExpiresByItsReportedAge)
{
    this->listMembers();
    this->clock.advance(Seconds(10));
    this->receiveState("i2", "z2", 1, Milliseconds(2000));
    this->clock.advance(Milliseconds(999));
    BOOST_TEST(this->submitKeyed() == "sent");
    this->clock.advance(Milliseconds(1));
    BOOST_TEST(this->submitKeyed() == "configuration_stale");
    auto state = this->plane.describe(this->clock.current());
    BOOST_TEST(state.confirmationAge.count() == 3000);
}

BOOST_AUTO_TEST_CASE(newerKnownRevisionEndsPermissionUntilItIsApplied)
{
    this->receiveState("i2", "z2", 2, Milliseconds(0));
    BOOST_TEST(this->submitKeyed() == "configuration_stale");
    this->tick(DocumentApplied { makeDocument(2) });
    BOOST_TEST(this->submitKeyed() == "sent");
    this->tick(DocumentApplied { makeDocument(1) });
    BOOST_TEST(this->plane.describe(this->clock.current()).appliedRevision == 2);
}

BOOST_AUTO_TEST_CASE(storeOutageRequiresContactWithEveryOtherZone)
{
    this->listMembers();
    this->clock.advance(Seconds(4));
    this->receiveState("i2", "z2");
    BOOST_TEST(this->submitKeyed() == "configuration_stale");
    this->receiveState(
        "i2", "z2", 1, Milliseconds::max(), { PeerSighting { IncarnationId("i4"), ZoneId("z3"), Milliseconds(500) } });
    BOOST_TEST(this->submitKeyed() == "sent");
    this->clock.advance(Milliseconds(2499));
    this->receiveState("i2", "z2");
    BOOST_TEST(this->submitKeyed() == "sent");
    this->clock.advance(Milliseconds(1));
    this->receiveState("i2", "z2");
    BOOST_TEST(this->submitKeyed() == "configuration_stale");
}

BOOST_AUTO_TEST_CASE(newDaemonLearnsTheZonesFromPeersAndServesNoKeyedWorkAlone)
{
    RequestPlane fresh(identity());
    fresh.tick(this->clock.current(), { DocumentApplied { makeDocument(1) }, makeEndpoints() });
    auto refused = fresh.tick(this->clock.current(), { this->makeRequest("n1", "quotes", "k1") });
    BOOST_TEST((only<AnswerCaller>(refused).reason == OutcomeReason::ConfigurationStale));
    PeerState state;
    state.incarnation = IncarnationId("i2");
    state.zone = ZoneId("z2");
    state.sightings = { PeerSighting { IncarnationId("i3"), ZoneId("z3"), Milliseconds::max() } };
    fresh.tick(this->clock.current(), { PeerHeard { state, this->clock.current() } });
    refused = fresh.tick(this->clock.current(), { this->makeRequest("n2", "quotes", "k1") });
    BOOST_TEST((only<AnswerCaller>(refused).reason == OutcomeReason::ConfigurationStale));
    BOOST_TEST(fresh.describe(this->clock.current()).sightings.size() == 2);
}

BOOST_AUTO_TEST_CASE(pausedDaemonRefusesKeyedWorkUntilConfirmedAgain)
{
    this->clock.advance(Seconds(30));
    PeerState old;
    old.incarnation = IncarnationId("i2");
    old.zone = ZoneId("z2");
    old.confirmationAge = Milliseconds(0);
    this->tick(PeerHeard { old, this->clock.current() - Seconds(30) });
    BOOST_TEST(this->submitKeyed() == "configuration_stale");
}

BOOST_AUTO_TEST_CASE(withdrawnKeyEndsItsWaitingRequests)
{
    std::vector<RequestInput> burst;
    for (int index = 0; index < 11; ++index)
        burst.emplace_back(this->makeRequest("b" + std::to_string(index), "quotes", "k1"));
    BOOST_TEST(pick<SendAttempt>(this->tick(burst)).size() == 10);
    auto without = makeDocument(2);
    without->keys.erase(without->keys.begin());
    auto answer = only<AnswerCaller>(this->tick(DocumentApplied { without }));
    BOOST_TEST((answer.reason == OutcomeReason::KeyInvalid));
}

BOOST_AUTO_TEST_SUITE_END()
