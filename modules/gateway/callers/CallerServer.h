#pragma once

#include <core/errors/Result.h>
#include <core/text/Identifier.h>
#include <gateway/callers/CallerLimits.h>
#include <gateway/callers/CallerRefusal.h>
#include <gateway/callers/PendingRequest.h>
#include <gateway/http/GatewayError.h>
#include <loop/guard/HttpConnectionGuard.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

struct event_base;
struct evhttp_connection;

namespace Greengage {

struct AnswerCaller;
struct CallerDisconnected;
struct OutcomeResponse;
struct RequestArrived;

/// HTTP server for callers. Parses requests, holds their bodies, and sends each answer when `answer` is called.
class CallerServer {
public:
    struct Handlers {
        std::function<void(RequestArrived)> onRequestArrived;
        std::function<void(CallerDisconnected)> onCallerDisconnected;
        /// A request was answered, `latency` after it had arrived completely.
        std::function<void(const AnswerCaller&, const QueueId&, Microseconds latency)> onAnswered;
        /// A request was refused before an id was assigned to it.
        std::function<void(CallerRefusal)> onRefused;
        /// A connection was closed to keep the limits.
        std::function<void(CloseReason)> onClosing;
        /// Whether GET /healthz reports that the daemon is serving.
        std::function<bool()> isHealthy;
        /// The body of the response to GET /metrics.
        std::function<std::string()> metricsPage;
    };

    CallerServer(event_base&, const CallerLimits&, IncarnationId incarnation, Handlers);
    ~CallerServer();

    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// Starts accepting connections. The error names the address that could not be bound, and the reason.
    Result<void, GatewayError> listen(const std::string& address, std::uint16_t port);

    /// From now on every response carries `Connection: close`.
    void beginClosing() { this->isClosing = true; }

    /// Stops taking new connections. Those that are open, or established and not accepted yet, are still served; the
    /// listening socket closes once none waits to be accepted.
    void closeListener();
    bool isListening() const { return this->socket; }

    /// The pending request, or null if it has been answered or its caller has disconnected.
    PendingRequest* findPending(const RequestId&);

    /// Answers a request. Does nothing if its caller has disconnected.
    void answer(const AnswerCaller&);

    std::size_t pendingRequestCount() const { return this->pendingRequests.size(); }
    std::size_t connectionCount() const { return this->guard.connectionCount(); }
    std::size_t heldBytes() const { return this->guard.heldBytes(); }

private:
    void closeDrainedListener();
    void handleRequest(evhttp_request&);
    void acceptRequest(evhttp_request&, const std::string& queue);
    static void watchForClose(evhttp_connection*);
    void handleConnectionClosed(evhttp_connection*);
    void refuse(evhttp_request&, CallerRefusal, const std::string& detail);
    void send(evhttp_request&, const OutcomeResponse&);
    void removePending(const RequestId&, evhttp_connection*);

    event_base& base;
    CallerLimits limits;
    IncarnationId incarnation;
    Handlers handlers;
    HttpConnectionGuard guard;
    EventPointer<evhttp> server;
    evhttp_bound_socket* socket = nullptr;
    Timer drainTimer;
    bool isClosing = false;
    std::uint64_t nextRequestNumber = 1;
    std::size_t heldBodyBytes = 0;
    std::unordered_map<RequestId, PendingRequest> pendingRequests;
    std::unordered_map<evhttp_connection*, RequestId> requestOfConnection;
};

} // namespace Greengage
