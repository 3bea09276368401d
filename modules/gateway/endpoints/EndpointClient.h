#pragma once

#include <core/text/Identifier.h>
#include <gateway/endpoints/EndpointAddress.h>
#include <gateway/endpoints/EndpointAnswer.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

struct event_base;

namespace Greengage {

class EndpointConnection;
struct QueryRunning;
struct AttemptEnded;
struct ExchangeRequest;
struct ExchangeResult;
struct RunningReported;
struct SendAttempt;

/// Sends attempts to endpoints over persistent HTTP connections. `attemptEnded` is called exactly once per attempt,
/// from the event loop and never from within `send`. A connection is closed and not reused if its exchange did not
/// complete or its answer was for another request than the one sent.
class EndpointClient {
public:
    /// An attempt has ended. The answer is set for AttemptResult::Answered only.
    using AttemptCallback = std::function<void(const AttemptEnded&, EndpointAnswer)>;
    using RunningCallback = std::function<void(RunningReported)>;

    /// `sourceAddress` is the local address that connections are bound to.
    EndpointClient(event_base&, std::string sourceAddress, IncarnationId incarnation);
    ~EndpointClient();

    EndpointClient(const EndpointClient&) = delete;
    EndpointClient& operator=(const EndpointClient&) = delete;

    void send(const SendAttempt&, const QueueId&, const std::string& body, AttemptCallback attemptEnded);

    /// Queries which requests an endpoint is running. `reported` is called only if the endpoint answers in time with a
    /// well-formed list.
    void queryRunning(const QueryRunning&, RunningCallback reported);

    /// The number of exchanges in progress.
    std::size_t activeExchangeCount() const { return this->activeExchanges.size(); }

    /// The number of open connections to an endpoint, idle ones included.
    std::size_t connectionCountTo(const EndpointAddress&) const;

private:
    using ExchangeCallback = std::function<void(ExchangeResult)>;
    using ConnectionPointer = std::unique_ptr<EndpointConnection>;

    void exchange(const EndpointAddress&, bool freshConnection, const ExchangeRequest&, ExchangeCallback);
    ConnectionPointer acquireConnection(const EndpointAddress&, bool freshConnection);
    void release(std::uint64_t exchange, bool keep);
    void retire(ConnectionPointer);
    void closeExpired();

    event_base& base;
    std::string sourceAddress;
    IncarnationId incarnation;
    std::uint64_t nextExchangeId = 1;
    std::unordered_map<std::uint64_t, ConnectionPointer> activeExchanges;
    std::map<EndpointAddress, std::size_t> activeCountByEndpoint;
    std::map<EndpointAddress, std::vector<ConnectionPointer>> idleConnections;
    /// Connections to be closed from the event loop, because evhttp may still be using them further up the call stack.
    std::vector<ConnectionPointer> retired;
    Timer retireTimer;
    Timer sweepTimer;
};

} // namespace Greengage
