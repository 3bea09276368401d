#include <gateway/traffic/Gateway.h>

#include <gateway/callers/PendingRequest.h>

#include <fleet/requests/RequestOutput.h>

namespace Greengage {

Gateway::Gateway(
    event_base& base, std::string address, const CallerLimits& limits, IncarnationId incarnation, Handlers handlers)
    : address(std::move(address))
    , handlers(std::move(handlers))
    , callers(base, limits, incarnation,
          { [this](RequestArrived arrived) { this->handlers.onInput(std::move(arrived)); },
              [this](CallerDisconnected disconnected) { this->handlers.onInput(std::move(disconnected)); },
              [this](const AnswerCaller& answer, const QueueId& queue, Microseconds latency) {
                  this->handlers.onAnswered(answer, queue, latency);
              },
              [this](CallerRefusal refusal) { this->handlers.onRefused(refusal); },
              [this](CloseReason reason) { this->handlers.onCallerClosing(reason); },
              [this] { return this->handlers.isHealthy(); }, [this] { return this->handlers.metricsPage(); } })
    , endpoints(base, this->address, incarnation)
{
}

Result<void, GatewayError> Gateway::listen(std::uint16_t callersPort)
{
    return this->callers.listen(this->address, callersPort);
}

void Gateway::send(const SendAttempt& attempt)
{
    const PendingRequest* pending = this->callers.findPending(attempt.request);
    if (!pending) {
        this->handlers.onInput(
            AttemptEnded { attempt.request, attempt.attempt, attempt.endpoint, AttemptResult::NotSent });
        return;
    }
    this->endpoints.send(
        attempt, pending->queue, pending->body, [this](const AttemptEnded& ended, EndpointAnswer answer) {
            PendingRequest* waiting = this->callers.findPending(ended.request);
            if (waiting && ended.result == AttemptResult::Answered)
                waiting->answers[ended.attempt] = std::move(answer);
            this->handlers.onInput(ended);
        });
}

void Gateway::answer(const AnswerCaller& answer) { this->callers.answer(answer); }

void Gateway::queryRunning(const QueryRunning& query)
{
    this->endpoints.queryRunning(query, [this](RunningReported report) { this->handlers.onInput(std::move(report)); });
}

} // namespace Greengage
