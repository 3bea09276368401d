#include <store/http/HttpClient.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <support/LoopRunner.h>
#include <support/ScriptedServer.h>

using namespace Greengage;

namespace {

constexpr Milliseconds callTimeout { 100 };

/// A client whose server answers all calls but those for "/slow".
struct HttpClientFixture {
    static ScriptedServer::Reply answer(const std::string& request)
    {
        if (request.find("/slow") != std::string::npos)
            return {};
        return { "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok" };
    }

    HttpRequest makeCall(const char* path = "/")
    {
        HttpRequest call;
        call.address = "127.0.0.1";
        call.port = this->server.port();
        call.path = path;
        call.timeout = callTimeout;
        return call;
    }

    bool isAnswered(const HttpRequest& call)
    {
        std::optional<bool> answered;
        this->client.send(call, [&answered](const auto& result) { answered = result.has_value(); });
        BOOST_REQUIRE(this->loop.runUntil([&answered] { return answered.has_value(); }));
        return *answered;
    }

    /// Opens connections by calls at the same time and leaves them idle.
    void openConnections(int count)
    {
        int answered = 0;
        HttpRequest call = this->makeCall();
        call.timeout = Seconds(10);
        for (int index = 0; index < count; ++index)
            this->client.send(call, [&answered](const auto& result) { answered += result.has_value() ? 1 : 0; });
        BOOST_REQUIRE(this->loop.runUntil([&] { return answered == count; }));
    }

    LoopRunner loop;
    ScriptedServer server { loop.base(), answer };
    HttpClient client { loop.base(), "127.0.0.1" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpClients, HttpClientFixture)

/// Guards against a peer that is up and not reached for long (review/7, review/8): all open connections go silent, and
/// each call times out on another one of them.
BOOST_AUTO_TEST_CASE(oneCallTimesOutHoweverManyIdleConnectionsAreSilent)
{
    for (int idle : { 1, 20, 64 }) {
        this->openConnections(idle);
        this->server.silenceOpenConnections();
        BOOST_TEST(!this->isAnswered(this->makeCall()));
        BOOST_TEST(this->isAnswered(this->makeCall()), idle << " idle connections");
    }
}

/// Guards against new connections for each answer that is lost or slow: connections that have answered since are kept.
BOOST_AUTO_TEST_CASE(connectionsThatHaveAnsweredSinceAreKept)
{
    this->openConnections(2);
    std::optional<bool> slowAnswered;
    this->client.send(
        this->makeCall("/slow"), [&slowAnswered](const auto& result) { slowAnswered = result.has_value(); });
    BOOST_TEST(this->isAnswered(this->makeCall()));
    BOOST_REQUIRE(this->loop.runUntil([&slowAnswered] { return slowAnswered.has_value(); }));
    BOOST_TEST(!*slowAnswered);
    int connections = this->server.connections;
    BOOST_TEST(this->isAnswered(this->makeCall()));
    BOOST_TEST(this->server.connections == connections);
}

/// A new connection that is not answered says nothing of those that have been.
BOOST_AUTO_TEST_CASE(aTimeOutOnANewConnectionClosesNoOther)
{
    this->openConnections(2);
    HttpRequest fresh = this->makeCall("/slow");
    fresh.freshConnection = true;
    BOOST_TEST(!this->isAnswered(fresh));
    int connections = this->server.connections;
    this->openConnections(2);
    BOOST_TEST(this->server.connections == connections);
}

/// Calls under way on other connections go on when one times out.
BOOST_AUTO_TEST_CASE(aTimeOutBreaksNoCallThatIsUnderWay)
{
    this->openConnections(2);
    HttpRequest patient = this->makeCall("/slow");
    patient.timeout = callTimeout * 10;
    bool hasEnded = false;
    this->client.send(patient, [&hasEnded](const auto&) { hasEnded = true; });
    BOOST_TEST(!this->isAnswered(this->makeCall("/slow")));
    BOOST_TEST(this->isAnswered(this->makeCall()));
    BOOST_TEST(!hasEnded);
}

BOOST_AUTO_TEST_SUITE_END()
