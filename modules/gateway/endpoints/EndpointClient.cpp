#include <gateway/endpoints/EndpointClient.h>

#include <core/time/BootClock.h>
#include <fleet/requests/messages/AttemptEnded.h>
#include <fleet/requests/messages/QueryRunning.h>
#include <fleet/requests/messages/RunningReported.h>
#include <fleet/requests/messages/SendAttempt.h>
#include <gateway/endpoints/EndpointConnection.h>
#include <gateway/endpoints/RunningParser.h>
#include <gateway/http/HeaderNames.h>

#include <algorithm>

namespace Greengage {

namespace {

/// Idle connections are closed so that one daemon has at most this many connections to an endpoint. Only active
/// exchanges may exceed it.
constexpr std::size_t maxConnectionsPerEndpoint = 8;
constexpr Seconds idleTimeout { 15 };
constexpr Seconds sweepInterval { 1 };
constexpr Milliseconds askRunningTimeout { 1000 };
constexpr int statusOk = 200;
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;

AttemptResult toAttemptResult(const ExchangeResult& result, const RequestId& request)
{
    switch (result.end) {
    case ExchangeEnd::NotSent:
        return AttemptResult::NotSent;
    case ExchangeEnd::Broken:
        return AttemptResult::Broken;
    case ExchangeEnd::TimedOut:
        return AttemptResult::TimedOut;
    case ExchangeEnd::Completed:
        break;
    }
    if (result.echoedRequest != request.string())
        return AttemptResult::Broken;
    if (result.status == statusUnavailable || result.status == statusMisdirected)
        return AttemptResult::Refused;
    return AttemptResult::Answered;
}

ExchangeRequest toExchange(
    const SendAttempt& attempt, const QueueId& queue, const std::string& body, const IncarnationId& incarnation)
{
    ExchangeRequest request;
    request.isPost = true;
    request.path = "/run";
    request.headers = {
        { HeaderNames::request, attempt.request.string() },
        { HeaderNames::attempt, std::to_string(attempt.attempt) },
        { HeaderNames::team, attempt.team.string() },
        { HeaderNames::incarnation, incarnation.string() },
        { HeaderNames::queue, queue.string() },
        { HeaderNames::endpoint, attempt.endpoint.string() },
        { "Content-Type", "application/octet-stream" },
    };
    request.body = body;
    request.notAfter = attempt.notAfter;
    request.answerBy = attempt.answerBy;
    return request;
}

} // namespace

EndpointClient::EndpointClient(event_base& base, std::string sourceAddress, IncarnationId incarnation)
    : base(base)
    , sourceAddress(std::move(sourceAddress))
    , incarnation(std::move(incarnation))
    , retireTimer(base, [this] { this->retired.clear(); })
    , sweepTimer(base, [this] {
        this->closeExpired();
        this->sweepTimer.schedule(sweepInterval);
    })
{
    this->sweepTimer.schedule(sweepInterval);
}

EndpointClient::~EndpointClient() = default;

void EndpointClient::send(
    const SendAttempt& attempt, const QueueId& queue, const std::string& body, AttemptCallback attemptEnded)
{
    AttemptEnded ended { attempt.request, attempt.attempt, attempt.endpoint, AttemptResult::NotSent };
    auto finished = [ended, attemptEnded = std::move(attemptEnded)](ExchangeResult result) mutable {
        ended.result = toAttemptResult(result, ended.request);
        EndpointAnswer answer;
        if (ended.result == AttemptResult::Answered)
            answer = { result.status, std::move(result.contentType), std::move(result.body) };
        attemptEnded(ended, std::move(answer));
    };
    EndpointAddress address { attempt.endpoint, attempt.address, attempt.port };
    this->exchange(
        address, attempt.freshConnection, toExchange(attempt, queue, body, this->incarnation), std::move(finished));
}

void EndpointClient::queryRunning(const QueryRunning& query, RunningCallback reported)
{
    Instant now = BootClock::now();
    ExchangeRequest request;
    request.path = "/running";
    request.headers = { { HeaderNames::endpoint, query.endpoint.string() } };
    request.notAfter = Deadline::after(now, askRunningTimeout);
    request.answerBy = request.notAfter;
    RunningReported report { query.endpoint, now, {} };
    auto finished = [report, reported = std::move(reported)](const ExchangeResult& result) mutable {
        if (result.end != ExchangeEnd::Completed || result.status != statusOk)
            return;
        auto running = parseRunning(result.body);
        if (!running.has_value())
            return;
        report.running = std::move(running.value());
        reported(std::move(report));
    };
    this->exchange({ query.endpoint, query.address, query.port }, false, request, std::move(finished));
}

void EndpointClient::exchange(
    const EndpointAddress& address, bool freshConnection, const ExchangeRequest& request, ExchangeCallback finished)
{
    ConnectionPointer connection = this->acquireConnection(address, freshConnection);
    EndpointConnection& activeConnection = *connection;
    std::uint64_t id = this->nextExchangeId++;
    this->activeExchanges.emplace(id, std::move(connection));
    ++this->activeCountByEndpoint[address];
    std::string expectedEcho;
    for (const HttpHeader& header : request.headers) {
        if (header.name == HeaderNames::request)
            expectedEcho = header.value;
    }
    activeConnection.start(request, [this, id, expectedEcho, finished = std::move(finished)](ExchangeResult result) {
        bool isMatchingAnswer = result.end == ExchangeEnd::Completed && result.echoedRequest == expectedEcho;
        this->release(id, isMatchingAnswer);
        finished(std::move(result));
    });
}

EndpointClient::ConnectionPointer EndpointClient::acquireConnection(
    const EndpointAddress& address, bool freshConnection)
{
    auto found = this->idleConnections.find(address);
    while (!freshConnection && found != this->idleConnections.end() && !found->second.empty()) {
        ConnectionPointer connection = std::move(found->second.back());
        found->second.pop_back();
        if (connection->isReusable())
            return connection;
        this->retire(std::move(connection));
    }
    if (found != this->idleConnections.end() && !found->second.empty()
        && this->connectionCountTo(address) >= maxConnectionsPerEndpoint) {
        this->retire(std::move(found->second.front()));
        found->second.erase(found->second.begin());
    }
    return std::make_unique<EndpointConnection>(this->base, address, this->sourceAddress);
}

std::size_t EndpointClient::connectionCountTo(const EndpointAddress& address) const
{
    auto idle = this->idleConnections.find(address);
    auto active = this->activeCountByEndpoint.find(address);
    return (idle == this->idleConnections.end() ? 0 : idle->second.size())
        + (active == this->activeCountByEndpoint.end() ? 0 : active->second);
}

void EndpointClient::retire(ConnectionPointer connection)
{
    this->retired.push_back(std::move(connection));
    this->retireTimer.schedule(Microseconds::zero());
}

void EndpointClient::release(std::uint64_t exchange, bool keep)
{
    auto found = this->activeExchanges.find(exchange);
    ConnectionPointer connection = std::move(found->second);
    this->activeExchanges.erase(found);
    const EndpointAddress& address = connection->address();
    if (--this->activeCountByEndpoint[address] == 0)
        this->activeCountByEndpoint.erase(address);
    if (keep && connection->isReusable() && this->connectionCountTo(address) < maxConnectionsPerEndpoint) {
        connection->idleUntil = Deadline::after(BootClock::now(), idleTimeout);
        this->idleConnections[address].push_back(std::move(connection));
    } else
        this->retire(std::move(connection));
}

void EndpointClient::closeExpired()
{
    Instant now = BootClock::now();
    for (auto& [address, connections] : this->idleConnections) {
        std::erase_if(connections, [now](const ConnectionPointer& connection) {
            return !connection->isReusable() || connection->idleUntil.hasPassed(now);
        });
    }
    std::erase_if(this->idleConnections, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace Greengage
