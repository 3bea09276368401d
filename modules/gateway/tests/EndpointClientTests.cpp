#include <boost/test/unit_test.hpp>

#include <core/time/BootClock.h>
#include <fleet/requests/messages/AttemptEnded.h>
#include <fleet/requests/messages/QueryRunning.h>
#include <fleet/requests/messages/RunningReported.h>
#include <fleet/requests/messages/SendAttempt.h>
#include <gateway/endpoints/EndpointClient.h>
#include <support/LoopRunner.h>
#include <support/ScriptedServer.h>

#include <optional>

namespace Greengage {

namespace {

std::string toResponse(int status, const std::string& echo, const std::string& body, std::size_t length)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nGreengage-Request: " + echo
        + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
}

/// The id of the request in the bytes that the client sent.
std::string requestIdOf(const std::string& request)
{
    const std::string name = "Greengage-Request: ";
    std::size_t begin = request.find(name) + name.size();
    return request.substr(begin, request.find('\r', begin) - begin);
}

ScriptedServer::Reply answerCorrectly(const std::string& request)
{
    return { toResponse(200, requestIdOf(request), "done", 4) };
}

struct ClientFixture {
    LoopRunner loop;
    ScriptedServer server { loop.base(), answerCorrectly };
    EndpointClient client { loop.base(), "127.0.0.1", IncarnationId("i1") };
    int sent = 0;
    std::optional<AttemptEnded> ended;
    EndpointAnswer answer;

    SendAttempt makeAttempt()
    {
        SendAttempt attempt;
        attempt.request = RequestId("r" + std::to_string(++this->sent));
        attempt.attempt = 1;
        attempt.endpoint = VmId("vm1");
        attempt.address = "127.0.0.1";
        attempt.port = this->server.port();
        attempt.notAfter = Deadline::after(BootClock::now(), Seconds(10));
        attempt.answerBy = Deadline::after(BootClock::now(), Seconds(10));
        return attempt;
    }

    AttemptResult run(const SendAttempt& attempt)
    {
        this->ended.reset();
        this->client.send(attempt, QueueId("q"), "body", [this](const AttemptEnded& end, EndpointAnswer received) {
            BOOST_TEST(!this->ended.has_value());
            this->ended = end;
            this->answer = std::move(received);
        });
        BOOST_TEST(!this->ended.has_value());
        BOOST_REQUIRE(this->loop.runUntil([this] { return this->ended.has_value(); }));
        BOOST_TEST(this->client.activeExchangeCount() == 0U);
        return this->ended->result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointClientTests, ClientFixture)

BOOST_AUTO_TEST_CASE(completeAnswersReuseOneConnection)
{
    for (int round = 0; round < 3; ++round) {
        BOOST_TEST((this->run(this->makeAttempt()) == AttemptResult::Answered));
        BOOST_TEST(this->answer.body == "done");
    }
    BOOST_TEST(this->server.connections == 1);
}

BOOST_AUTO_TEST_CASE(freshConnectionIsOpenedOnRequest)
{
    this->run(this->makeAttempt());
    SendAttempt attempt = this->makeAttempt();
    attempt.freshConnection = true;
    BOOST_TEST((this->run(attempt) == AttemptResult::Answered));
    BOOST_TEST(this->server.connections == 2);
}

BOOST_AUTO_TEST_CASE(idleConnectionsAreClosedToAdmitFreshOnes)
{
    constexpr int rounds = 20;
    constexpr std::size_t concurrentAttempts = 8;
    EndpointAddress address { VmId("vm1"), "127.0.0.1", this->server.port() };
    for (int round = 0; round < rounds; ++round) {
        std::size_t ended = 0;
        for (std::size_t index = 0; index < concurrentAttempts; ++index) {
            SendAttempt attempt = this->makeAttempt();
            attempt.freshConnection = true;
            this->client.send(
                attempt, QueueId("q"), "body", [&ended](const AttemptEnded&, EndpointAnswer) { ++ended; });
            BOOST_TEST(this->client.connectionCountTo(address) <= concurrentAttempts);
        }
        BOOST_REQUIRE(this->loop.runUntil([&ended] { return ended == concurrentAttempts; }));
        BOOST_TEST(this->client.connectionCountTo(address) <= concurrentAttempts);
    }
}

BOOST_AUTO_TEST_CASE(connectionIsNotReusedForAnotherVm)
{
    this->run(this->makeAttempt());
    SendAttempt attempt = this->makeAttempt();
    attempt.endpoint = VmId("vm2");
    this->run(attempt);
    BOOST_TEST(this->server.connections == 2);
}

BOOST_AUTO_TEST_CASE(refusedConnectionMeansNotSent)
{
    SendAttempt attempt = this->makeAttempt();
    attempt.port = 1;
    BOOST_TEST((this->run(attempt) == AttemptResult::NotSent));
}

BOOST_AUTO_TEST_CASE(expiredSendDeadlineSendsNoByte)
{
    SendAttempt attempt = this->makeAttempt();
    attempt.notAfter = Deadline::after(BootClock::now(), Milliseconds(-1));
    BOOST_TEST((this->run(attempt) == AttemptResult::NotSent));
    BOOST_TEST(this->server.bytesReceived == 0U);
}

BOOST_AUTO_TEST_CASE(sendDeadlineIsCheckedAfterConnecting)
{
    SendAttempt attempt = this->makeAttempt();
    attempt.notAfter = Deadline::after(BootClock::now(), Milliseconds(20));
    this->client.send(
        attempt, QueueId("q"), "body", [this](const AttemptEnded& end, const EndpointAnswer&) { this->ended = end; });
    while (!attempt.notAfter.hasPassed(BootClock::now())) { }
    BOOST_REQUIRE(this->loop.runUntil([this] { return this->ended.has_value(); }));
    BOOST_TEST((this->ended->result == AttemptResult::NotSent));
    BOOST_TEST(this->server.bytesReceived == 0U);
}

BOOST_AUTO_TEST_CASE(truncatedAnswerIsBrokenAndItsConnectionClosed)
{
    this->server.script = [](const std::string& request) {
        return ScriptedServer::Reply { toResponse(200, requestIdOf(request), "do", 4), true };
    };
    BOOST_TEST((this->run(this->makeAttempt()) == AttemptResult::Broken));
}

BOOST_AUTO_TEST_CASE(answerWithoutLengthIsBroken)
{
    this->server.script = [](const std::string& request) {
        return ScriptedServer::Reply { "HTTP/1.1 200 x\r\nGreengage-Request: " + requestIdOf(request) + "\r\n\r\ndone",
            true };
    };
    BOOST_TEST((this->run(this->makeAttempt()) == AttemptResult::Broken));
}

BOOST_AUTO_TEST_CASE(answerToAnotherRequestIsBrokenAndItsConnectionNotReused)
{
    this->server.script
        = [](const std::string&) { return ScriptedServer::Reply { toResponse(200, "r99", "done", 4) }; };
    BOOST_TEST((this->run(this->makeAttempt()) == AttemptResult::Broken));
    this->server.script = answerCorrectly;
    BOOST_TEST((this->run(this->makeAttempt()) == AttemptResult::Answered));
    BOOST_TEST(this->server.connections == 2);
}

BOOST_AUTO_TEST_CASE(unresponsiveConnectionIsClosedAndNotReused)
{
    this->server.script = [](const std::string&) { return ScriptedServer::Reply {}; };
    SendAttempt attempt = this->makeAttempt();
    attempt.answerBy = Deadline::after(BootClock::now(), Milliseconds(100));
    BOOST_TEST((this->run(attempt) == AttemptResult::TimedOut));
    this->server.script = answerCorrectly;
    BOOST_TEST((this->run(this->makeAttempt()) == AttemptResult::Answered));
    BOOST_TEST(this->server.connections == 2);
}

BOOST_AUTO_TEST_CASE(endpointThatClosesAfterReadingIsBroken)
{
    this->server.script = [](const std::string&) { return ScriptedServer::Reply { "", true }; };
    BOOST_TEST((this->run(this->makeAttempt()) == AttemptResult::Broken));
}

BOOST_AUTO_TEST_CASE(endpointRefusalsAreReportedAsRefused)
{
    for (int status : { 503, 421 }) {
        this->server.script = [status](const std::string& request) {
            return ScriptedServer::Reply { toResponse(status, requestIdOf(request), "", 0) };
        };
        BOOST_TEST((this->run(this->makeAttempt()) == AttemptResult::Refused));
    }
}

BOOST_AUTO_TEST_CASE(runningWorkIsReported)
{
    this->server.script = [](const std::string&) {
        std::string body = R"({"running":[{"request":"r1","team":"t","incarnation":"i"}]})";
        return ScriptedServer::Reply { "HTTP/1.1 200 x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body };
    };
    std::optional<RunningReported> report;
    this->client.queryRunning({ VmId("vm1"), "127.0.0.1", this->server.port() },
        [&report](RunningReported reported) { report = std::move(reported); });
    BOOST_REQUIRE(this->loop.runUntil([&report] { return report.has_value(); }));
    BOOST_REQUIRE(report->running.size() == 1U);
    BOOST_TEST(report->running[0].request.string() == "r1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Greengage
