#include <boost/test/unit_test.hpp>
#include <optional>
#include <standins/common/HttpReplies.h>
#include <standins/common/HttpService.h>
#include <standins/common/Loop.h>
#include <standins/relay/RelayProcess.h>
#include <store/store.h>
#include <unistd.h>

using namespace Greengage;

namespace {

/// A client in one zone, a server in another, and a relay between them.
class RelayFixture {
public:
    static constexpr Milliseconds waitLimit { 10000 };
    using Outcome = Result<HttpResponse, HttpFailure>;

    RelayFixture()
        : port(static_cast<std::uint16_t>(21000 + getpid() % 300 * 3))
        , server(this->loop, "127.2.2.1", this->port, [this](evhttp_request* request) { this->serve(request); })
        , relay(this->loop, "127.3.0.1", this->port + 1,
              { { "127.2.2.1", static_cast<std::uint16_t>(this->port + 2), "127.2.2.1", this->port } })
        , client(this->loop.base(), "127.1.1.7")
    {
        if (!this->server.listen() || !this->relay.start())
            throw std::runtime_error("server or relay cannot listen");
    }

    void serve(evhttp_request* request)
    {
        ++this->served;
        HttpReplies::text(request, 200, HttpReplies::peerAddress(request));
    }

    std::shared_ptr<std::optional<Outcome>> begin(const std::string& address, int portOffset, const std::string& body)
    {
        HttpRequest call;
        call.address = address;
        call.port = static_cast<std::uint16_t>(this->port + portOffset);
        call.path = "/control";
        call.body = body;
        call.timeout = this->timeout;
        auto pending = std::make_shared<std::optional<Outcome>>();
        this->client.send(call, [pending](Outcome outcome) { *pending = std::move(outcome); });
        return pending;
    }

    Outcome await(const std::shared_ptr<std::optional<Outcome>>& pending)
    {
        if (!this->loop.runUntil([&] { return pending->has_value(); }, waitLimit))
            throw std::runtime_error("call has not ended in time");
        return **pending;
    }

    Outcome callThroughRelay() { return this->await(this->begin("127.2.2.1", 2, "")); }

    void control(const std::string& body)
    {
        BOOST_REQUIRE(this->await(this->begin("127.3.0.1", 1, body)).value().status == 200);
    }

    Loop loop;
    std::uint16_t port;
    int served = 0;
    Milliseconds timeout { 5000 };
    HttpService server;
    RelayProcess relay;
    HttpClient client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayStandin, RelayFixture)

BOOST_AUTO_TEST_CASE(passesAndKeepsTheSourceAddress)
{
    BOOST_TEST(this->callThroughRelay().value().body == "127.1.1.7");
    BOOST_TEST(this->callThroughRelay().value().body == "127.1.1.7");
}

BOOST_AUTO_TEST_CASE(frozenConnectionHoldsBytesUntilTheRuleIsGone)
{
    BOOST_TEST(this->callThroughRelay().has_value());
    this->control(R"({"rules":[{"source":"127.1.1.","destination":"127.2.2.","action":"freeze"}]})");
    auto pending = this->begin("127.2.2.1", 2, "");
    this->timeout = Milliseconds(200);
    BOOST_TEST(!this->callThroughRelay().has_value());
    BOOST_TEST(!pending->has_value());
    BOOST_TEST(this->served == 1);
    this->timeout = Milliseconds(5000);
    this->control(R"({"rules":[]})");
    BOOST_TEST(this->await(pending).has_value());
}

BOOST_AUTO_TEST_CASE(ruleForOtherSourcesDoesNotApply)
{
    this->control(R"({"rules":[{"source":"127.1.2.","destination":"127.2.","action":"freeze"}]})");
    BOOST_TEST(this->callThroughRelay().has_value());
}

BOOST_AUTO_TEST_CASE(resetBreaksOpenAndNewConnections)
{
    BOOST_TEST(this->callThroughRelay().has_value());
    this->control(R"({"rules":[{"source":"","destination":"127.2.2.","action":"reset"}]})");
    BOOST_TEST(!this->callThroughRelay().has_value());
    BOOST_TEST(!this->callThroughRelay().has_value());
    BOOST_TEST(this->served == 1);
    this->control(R"({"rules":[]})");
    BOOST_TEST(this->callThroughRelay().has_value());
}

BOOST_AUTO_TEST_CASE(permanentlyFrozenConnectionStaysSoWhileNewOnesPass)
{
    BOOST_TEST(this->callThroughRelay().has_value());
    this->control(R"({"silence":{"source":"127.1.","destination":"127.2."}})");
    this->timeout = Milliseconds(200);
    BOOST_TEST(!this->callThroughRelay().has_value());
    this->timeout = Milliseconds(5000);
    BOOST_TEST(this->callThroughRelay().has_value());
    BOOST_TEST(this->served == 2);
}

BOOST_AUTO_TEST_CASE(unreachableTargetBreaksTheConnection)
{
    this->server.stopListening();
    BOOST_TEST(!this->callThroughRelay().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
