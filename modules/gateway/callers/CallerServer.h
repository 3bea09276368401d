#pragma once

#include <core/errors/Result.h>
#include <core/text/Identifier.h>
#include <gateway/callers/CallerLimits.h>
#include <gateway/callers/CallerRefusal.h>
#include <gateway/callers/ConnectionLimiter.h>
#include <gateway/callers/PendingCall.h>
#include <gateway/http/GatewayError.h>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

struct event_base;
struct evhttp_connection;

namespace Greengage {

struct AnswerCaller;
struct CallerLeft;
struct OutcomeResponse;
struct RequestArrived;

/// Serves callers over HTTP. It parses requests, keeps their bodies and answers them when told to.
class CallerServer {
public:
    struct Handlers {
        std::function<void(RequestArrived)> requestArrived;
        std::function<void(CallerLeft)> callerLeft;
        /// A request has been answered, `latency` after it had come whole.
        std::function<void(const AnswerCaller&, const QueueId&, Microseconds latency)> answered;
        /// A request was refused before it got an id.
        std::function<void(CallerRefusal)> refused;
        /// Whether the daemon serves, for GET /healthz.
        std::function<bool()> isHealthy;
        /// The text of GET /metrics.
        std::function<std::string()> metricsPage;
    };

    CallerServer(event_base&, const CallerLimits&, IncarnationId self, Handlers);
    ~CallerServer();

    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// Starts to accept connections. The error says which address could not be bound and why.
    Result<void, GatewayError> listen(const std::string& address, std::uint16_t port);

    /// From now on every answer asks the caller to close its connection.
    void beginClosing() { this->isClosing = true; }

    /// Accepts no more connections; those that are open are served on.
    void closeListener();

    /// The request as it was kept, or null if its caller has left or it has been answered.
    PendingCall* find(const RequestId&);

    /// Answers a request. Does nothing if its caller has left.
    void answer(const AnswerCaller&);

    std::size_t pendingCalls() const { return this->calls.size(); }
    int connections() const { return this->limiter.connections(); }

private:
    void handleRequest(evhttp_request&);
    void acceptCall(evhttp_request&, const std::string& queue);
    void watchForClose(evhttp_connection*);
    void handleClosed(evhttp_connection*);
    void refuse(evhttp_request&, CallerRefusal, const std::string& detail);
    void send(evhttp_request&, const OutcomeResponse&);
    void release(const RequestId&, evhttp_connection*);

    event_base& base;
    CallerLimits limits;
    IncarnationId self;
    Handlers handlers;
    ConnectionLimiter limiter;
    EventPointer<evhttp> server;
    evhttp_bound_socket* socket = nullptr;
    bool isClosing = false;
    std::uint64_t nextRequest = 1;
    std::size_t heldBodyBytes = 0;
    std::unordered_map<RequestId, PendingCall> calls;
    std::unordered_map<evhttp_connection*, RequestId> callOfConnection;
};

} // namespace Greengage
