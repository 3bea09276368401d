#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fleet/tests/PlaneFixture.h>
#include <fleet/tests/SessionTranscript.h>
#include <fstream>
#include <sstream>

using namespace Greengage;

namespace {

/// Records a session and compares it with the golden file of that name. If GREENGAGE_UPDATE_GOLDEN is set, writes the
/// file instead.
class GoldenFixture : public PlaneFixture {
public:
    GoldenFixture()
    {
        this->onTick = [this](const std::vector<RequestInput>& inbox, const std::vector<RequestOutput>& outbox) {
            this->transcript.add(this->clock.current(), inbox, outbox);
        };
    }

    void compare(const std::string& name) const
    {
        auto path = std::string(SOURCE_ROOT) + "/modules/fleet/tests/golden/" + name + ".txt";
        if (std::getenv("GREENGAGE_UPDATE_GOLDEN")) {
            std::ofstream(path) << this->transcript.text();
            return;
        }
        std::ifstream file(path);
        std::stringstream expected;
        expected << file.rdbuf();
        BOOST_TEST(this->transcript.text() == expected.str());
    }

    RequestArrived makeOrder(const std::string& id, const std::string& idempotencyKey) const
    {
        auto arrived = this->makeRequest(id, "orders", "k1");
        arrived.idempotencyKey = idempotencyKey;
        return arrived;
    }

    static PeerState makePeer(const std::string& incarnation, const std::string& zone, std::uint64_t revision)
    {
        PeerState state;
        state.incarnation = IncarnationId(incarnation);
        state.zone = ZoneId(zone);
        state.appliedRevision = revision;
        state.knownRevision = revision;
        return state;
    }

    SessionTranscript transcript;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GoldenSessions, GoldenFixture)

BOOST_AUTO_TEST_CASE(serving)
{
    this->startServing();
    auto quote = only<SendAttempt>(this->tick(this->makeRequest("r1", "quotes", "k1")));
    this->tick({ this->makeRequest("r2", "quotes", "k9"), this->makeRequest("r3", "open", "") });
    this->clock.advance(Milliseconds(40));
    this->tick(ended(quote, AttemptResult::Answered));
    auto broken = only<SendAttempt>(this->tick(this->makeRequest("r4", "quotes", "k2")));
    auto second = only<SendAttempt>(this->tick(ended(broken, AttemptResult::Broken)));
    this->tick(ended(second, AttemptResult::Answered));
    this->wait(Milliseconds(300));
    this->tick(RunningReported { broken.endpoint, this->clock.current(), {} });
    this->tick({ this->makeRequest("r5", "quotes", "k1"), ShutdownRequested {} });
    this->tick(this->makeRequest("r6", "quotes", "k1"));
    this->tick(CallerLeft { RequestId("r5") });
    this->wait(Seconds(4));
    this->compare("serving");
}

BOOST_AUTO_TEST_CASE(order)
{
    this->startServing();
    this->tick(this->makeOrder("r1", "pallet-7"));
    auto attempt = only<SendAttempt>(this->tick(ClaimSettled { RequestId("r1"), ClaimResult::Won }));
    this->tick(this->makeOrder("r2", "pallet-7"));
    this->tick(ClaimSettled { RequestId("r2"), ClaimResult::Held });
    this->clock.advance(Milliseconds(700));
    this->tick(ended(attempt, AttemptResult::Silent));
    this->tick(this->makeOrder("r3", "pallet-8"));
    this->tick(ClaimSettled { RequestId("r3"), ClaimResult::Unsettled });
    this->wait(Milliseconds(300));
    this->compare("order");
}

BOOST_AUTO_TEST_CASE(outage)
{
    this->startServing();
    PeerSighting other { IncarnationId("i2"), ZoneId("z2"), {} };
    this->tick(MembersListed { { PeerSighting { IncarnationId("i1"), ZoneId("z1"), {} }, other } });
    this->clock.advance(Milliseconds(3500));
    this->tick(this->makeRequest("r1", "quotes", "k1"));
    this->tick(PeerHeard { makePeer("i2", "z2", 1), this->clock.current() });
    this->tick(this->makeRequest("r2", "quotes", "k1"));
    this->tick(PeerHeard { makePeer("i2", "z2", 2), this->clock.current() });
    this->tick(this->makeRequest("r3", "quotes", "k1"));
    auto withdrawn = makeDocument(2);
    withdrawn->keys.erase(withdrawn->keys.begin());
    this->tick(DocumentApplied { withdrawn });
    this->tick({ this->makeRequest("r4", "quotes", "k1"), this->makeRequest("r5", "quotes", "k2") });
    this->storeAnswers = false;
    this->wait(Milliseconds(6000));
    this->tick({ this->makeRequest("r6", "quotes", "k2"), this->makeRequest("r7", "open", "") });
    this->compare("outage");
}

BOOST_AUTO_TEST_CASE(allotments)
{
    this->startServing();
    this->storeAnswers = false;
    auto peer = makePeer("i2", "z2", 1);
    peer.demand = { TeamDemand { QueueId("quotes"), TeamId("booking"), 0, 4 } };
    this->clock.advance(Milliseconds(60));
    this->tick(PeerHeard { peer, this->clock.current() });
    this->tick(AllotmentsWriteFailed { true });
    this->wait(Milliseconds(250));
    this->tick(AllotmentsWriteFailed { false });
    this->tick(AllotmentsRead { 2, R"({"teams":{"booking":{"i1":6,"i2":4},"lights":{"i1":10}}})", false });
    auto lowered = makeDocument(2);
    lowered->teams[0].limit = 5;
    this->tick(DocumentApplied { lowered });
    this->tick(this->makeRequest("r1", "quotes", "k1"));
    this->wait(Milliseconds(60));
    this->tick(AllotmentsRead { 3, R"({"teams":{"booking":{"i2":4},"lights":{"i1":10}}})", true });
    this->wait(Milliseconds(60));
    this->tick(AllotmentsRead { 4, R"({"teams":{"booking":{"i1":1,"i2":4},"lights":{"i1":10}}})", true });
    this->compare("allotments");
}

BOOST_AUTO_TEST_SUITE_END()
