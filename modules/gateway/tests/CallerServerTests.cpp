#include <boost/test/unit_test.hpp>

#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/messages/CallerDisconnected.h>
#include <fleet/requests/messages/RequestArrived.h>
#include <gateway/callers/CallerServer.h>
#include <support/LoopRunner.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace Greengage {

namespace {

constexpr int basePort = 24000;
constexpr int portRange = 900;

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A caller's TCP connection that sends and receives unparsed bytes.
class RawCaller {
public:
    explicit RawCaller(std::uint16_t port)
    {
        auto address = loopbackAddress(port);
        BOOST_REQUIRE(connect(this->socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    }

    ~RawCaller() { this->disconnect(); }

    void send(const std::string& bytes) const { ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    void disconnect()
    {
        if (this->socket != -1)
            close(this->socket);
        this->socket = -1;
    }

    /// Reads the bytes that have arrived; returns whether the server has closed the connection.
    bool receive()
    {
        char bytes[4096];
        ssize_t count = recv(this->socket, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (count > 0)
            this->received.append(bytes, static_cast<std::size_t>(count));
        return count == 0;
    }

    std::string received;

private:
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
};

struct ServerFixture {
    LoopRunner loop;
    std::vector<RequestArrived> arrived;
    std::vector<CallerDisconnected> disconnects;
    std::vector<CallerRefusal> refused;
    int answered = 0;
    CallerLimits limits { 2, 2048, 1000, 1500, Milliseconds(300) };
    std::uint16_t port = static_cast<std::uint16_t>(basePort + getpid() % portRange);
    CallerServer server { loop.base(), limits, IncarnationId("i1"),
        { [this](RequestArrived request) { this->arrived.push_back(std::move(request)); },
            [this](CallerDisconnected message) { this->disconnects.push_back(std::move(message)); },
            [this](const AnswerCaller&, const QueueId&, Microseconds) { this->answered += 1; },
            [this](CallerRefusal refusal) { this->refused.push_back(refusal); }, [](CloseReason) {},
            [] { return true; }, [] { return std::string("metrics page"); } } };

    ServerFixture() { BOOST_REQUIRE(this->server.listen("127.0.0.1", this->port).has_value()); }

    void awaitArrival(std::size_t count)
    {
        BOOST_REQUIRE(this->loop.runUntil([this, count] { return this->arrived.size() >= count; }));
    }

    void awaitResponse(RawCaller& caller, const std::string& text)
    {
        bool arrivedInTime = this->loop.runUntil([&caller, &text] {
            caller.receive();
            return caller.received.find(text) != std::string::npos;
        });
        BOOST_TEST_INFO(caller.received);
        BOOST_REQUIRE(arrivedInTime);
    }

    /// Whether the kernel establishes a new connection by itself, before the server accepts it.
    bool isConnectedAtOnce() const
    {
        int caller = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        auto address = loopbackAddress(this->port);
        BOOST_REQUIRE(connect(caller, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == -1);
        pollfd state { caller, POLLOUT, 0 };
        bool isConnected = poll(&state, 1, 50) == 1;
        close(caller);
        return isConnected;
    }

    void awaitClose(RawCaller& caller)
    {
        BOOST_REQUIRE(this->loop.runUntil([&caller] { return caller.receive(); }));
    }
};

std::string toPost(const std::string& headers, const std::string& body)
{
    return "POST /v1/queues/orders HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerServerTests, ServerFixture)

BOOST_AUTO_TEST_CASE(requestIsParsedAndEndpointAnswerIsPassedOn)
{
    RawCaller caller(this->port);
    caller.send(
        toPost("Authorization: Bearer k.s\r\nIdempotency-Key: once\r\nGreengage-Timeout-Ms: 5000\r\n", "two pallets"));
    this->awaitArrival(1);
    const RequestArrived& request = this->arrived[0];
    BOOST_TEST(request.queue.string() == "orders");
    BOOST_TEST(request.bearer == "k.s");
    BOOST_TEST(request.idempotencyKey == "once");
    BOOST_TEST(request.bodyBytes == 11U);
    PendingRequest* pending = this->server.findPending(request.request);
    BOOST_REQUIRE(pending);
    BOOST_TEST(pending->body == "two pallets");
    pending->answers[2] = { 201, "text/plain", "certificate 7" };
    this->server.answer({ request.request, Outcome::Answered, OutcomeReason::None, 2, {}, {} });
    this->awaitResponse(caller, "certificate 7");
    BOOST_TEST(caller.received.find("HTTP/1.1 201") == 0U);
    BOOST_TEST(caller.received.find("Greengage-Outcome: answered") != std::string::npos);
    BOOST_TEST(this->server.pendingRequestCount() == 0U);
    BOOST_TEST(this->answered == 1);
}

BOOST_AUTO_TEST_CASE(closingTheListenerBreaksNoConnectionThatWaitsToBeAccepted)
{
    RawCaller caller(this->port);
    caller.send(toPost("", "x"));
    this->server.closeListener();
    BOOST_TEST(!this->isConnectedAtOnce());
    this->awaitArrival(1);
    this->server.answer({ this->arrived[0].request, Outcome::NotRun, OutcomeReason::LimitReached, 0, {}, {} });
    this->awaitResponse(caller, "Greengage-Outcome: not_run");
    BOOST_REQUIRE(this->loop.runUntil([this] { return !this->server.isListening(); }));
}

BOOST_AUTO_TEST_CASE(outcomesAreDistinguishedByStatusAndHeader)
{
    RawCaller caller(this->port);
    caller.send(toPost("", "x"));
    this->awaitArrival(1);
    this->server.answer(
        { this->arrived[0].request, Outcome::NotRun, OutcomeReason::LimitReached, 0, Milliseconds(1200), {} });
    this->awaitResponse(caller, "\"retryAfterMs\":1200");
    BOOST_TEST(caller.received.find("HTTP/1.1 429") == 0U);
    BOOST_TEST(caller.received.find("Greengage-Reason: limit_reached") != std::string::npos);
    BOOST_TEST(caller.received.find("Retry-After: 2") != std::string::npos);
    caller.received.clear();
    caller.send(toPost("", "x"));
    this->awaitArrival(2);
    this->server.answer({ this->arrived[1].request, Outcome::Unknown, OutcomeReason::AnswerTimedOut, 1, {}, {} });
    this->awaitResponse(caller, "\"outcome\":\"unknown\"");
    BOOST_TEST(caller.received.find("HTTP/1.1 504") == 0U);
}

BOOST_AUTO_TEST_CASE(malformedHeaderIsNamedInTheRefusal)
{
    RawCaller caller(this->port);
    caller.send(toPost("Greengage-Timeout-Ms: soon\r\n", "x"));
    this->awaitResponse(caller, "whole number from 1");
    BOOST_TEST(caller.received.find("HTTP/1.1 400") == 0U);
    BOOST_TEST(caller.received.find("Greengage-Outcome: not_run") != std::string::npos);
    BOOST_TEST(this->arrived.empty());
    BOOST_TEST((this->refused == std::vector { CallerRefusal::Malformed }));
}

BOOST_AUTO_TEST_CASE(bodiesBeyondTheLimitsAreRefused)
{
    RawCaller caller(this->port);
    caller.send(toPost("", std::string(1001, 'x')));
    this->awaitResponse(caller, "HTTP/1.1 413");
    RawCaller first(this->port);
    first.send(toPost("", std::string(1000, 'x')));
    this->awaitArrival(1);
    caller.disconnect();
    RawCaller second(this->port);
    second.send(toPost("", std::string(1000, 'x')));
    this->awaitResponse(second, "bodies_full");
}

BOOST_AUTO_TEST_CASE(callerDisconnectIsReported)
{
    RawCaller caller(this->port);
    caller.send(toPost("", "x"));
    this->awaitArrival(1);
    caller.disconnect();
    BOOST_REQUIRE(this->loop.runUntil([this] { return this->disconnects.size() == 1; }));
    BOOST_TEST((this->disconnects[0].request == this->arrived[0].request));
    BOOST_TEST(this->server.pendingRequestCount() == 0U);
    this->server.answer({ this->arrived[0].request, Outcome::NotRun, OutcomeReason::None, 0, {}, {} });
}

BOOST_AUTO_TEST_CASE(slowRequestIsClosedWhileAWaitingOneStaysOpen)
{
    RawCaller waiting(this->port);
    waiting.send(toPost("", "x"));
    this->awaitArrival(1);
    RawCaller slow(this->port);
    slow.send("POST /v1/queues/orders HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    this->awaitClose(slow);
    BOOST_TEST(this->disconnects.empty());
    this->server.answer({ this->arrived[0].request, Outcome::NotRun, OutcomeReason::QueueFull, 0, {}, {} });
    this->awaitResponse(waiting, "queue_full");
    this->awaitClose(waiting);
}

BOOST_AUTO_TEST_CASE(connectionsBeyondTheLimitWaitUnaccepted)
{
    RawCaller first(this->port);
    RawCaller second(this->port);
    RawCaller third(this->port);
    for (RawCaller* caller : { &first, &second, &third })
        caller->send(toPost("", "x"));
    this->awaitArrival(2);
    BOOST_TEST(this->server.connectionCount() == 2U);
    first.disconnect();
    this->awaitArrival(3);
    BOOST_TEST(this->server.connectionCount() == 2U);
}

BOOST_AUTO_TEST_CASE(metricsPageIsServed)
{
    RawCaller caller(this->port);
    caller.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    this->awaitResponse(caller, "metrics page");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Greengage
