#pragma once

#include <core/errors/Result.h>
#include <core/text/Identifier.h>
#include <fleet/requests/RequestInput.h>
#include <gateway/callers/CallerServer.h>
#include <gateway/endpoints/EndpointClient.h>
#include <gateway/http/GatewayError.h>

#include <cstdint>
#include <functional>
#include <string>

struct event_base;

namespace Greengage {

struct AnswerCaller;
struct QueryRunning;
struct SendAttempt;

/// Connects the request plane to callers and endpoints: converts their messages to inputs of the request plane, and
/// carries out its outputs.
class Gateway {
public:
    struct Handlers {
        std::function<void(RequestInput)> onInput;
        std::function<void(const AnswerCaller&, const QueueId&, Microseconds latency)> onAnswered;
        std::function<void(CallerRefusal)> onRefused;
        std::function<void(CloseReason)> onCallerClosing;
        std::function<bool()> isHealthy;
        std::function<std::string()> metricsPage;
    };

    /// `address` is the daemon's own. The caller server listens on it, and connections to endpoints are bound to it.
    Gateway(event_base&, std::string address, const CallerLimits&, IncarnationId incarnation, Handlers);

    Result<void, GatewayError> listen(std::uint16_t callersPort);
    void beginClosing() { this->callers.beginClosing(); }
    void closeListener() { this->callers.closeListener(); }
    bool isListening() const { return this->callers.isListening(); }

    void send(const SendAttempt&);
    void answer(const AnswerCaller&);
    void queryRunning(const QueryRunning&);

    /// Whether no caller is waiting for an answer and no exchange with an endpoint is in progress.
    bool isIdle() const
    {
        return this->callers.pendingRequestCount() == 0 && this->endpoints.activeExchangeCount() == 0;
    }

    std::size_t callerConnectionCount() const { return this->callers.connectionCount(); }
    std::size_t heldCallerBytes() const { return this->callers.heldBytes(); }

private:
    std::string address;
    Handlers handlers;
    CallerServer callers;
    EndpointClient endpoints;
};

} // namespace Greengage
