#include <daemon/metrics/RequestObserver.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/BootClock.h>
#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/messages/AttemptEnded.h>

#include <algorithm>
#include <string>

namespace Greengage {

namespace {

/// Whether a finished request counts towards the service's objective. Failures that only the caller can fix do not.
bool countsForObjective(OutcomeReason reason)
{
    switch (reason) {
    case OutcomeReason::KeyMissing:
    case OutcomeReason::KeyInvalid:
    case OutcomeReason::UnknownQueue:
    case OutcomeReason::DeadlineTooLong:
    case OutcomeReason::DuplicateRequest:
    case OutcomeReason::LimitReached:
        return false;
    default:
        return true;
    }
}

std::string text(std::string_view name) { return std::string(name); }

} // namespace

RequestObserver::RequestObserver(MetricsRegistry& registry)
    : registry(registry)
{
}

void RequestObserver::documentApplied(std::shared_ptr<const Document> applied) { this->document = std::move(applied); }

const Queue* RequestObserver::findQueue(const QueueId& name) const
{
    if (!this->document)
        return nullptr;
    const auto& queues = this->document->queues;
    auto found = std::find_if(queues.begin(), queues.end(), [&name](const Queue& queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

void RequestObserver::answered(const AnswerCaller& answer, const QueueId& queueName, Microseconds latency)
{
    const Queue* queue = this->findQueue(queueName);
    std::string queueLabel = queue ? queue->name.string() : "";
    this->registry
        .counter("greengage_requests_total", "Requests by how they ended.",
            { { "queue", queueLabel }, { "team", answer.team.string() }, { "outcome", text(nameOf(answer.outcome)) },
                { "reason", text(nameOf(answer.reason)) } })
        .add();
    this->registry
        .latency("greengage_request_seconds", "Time from a whole request to its answer.", { { "queue", queueLabel } })
        .record(latency);
    Instant now = BootClock::now();
    if (queue)
        this->recordBurn(answer, *queue, latency, now);
    if (answer.outcome == Outcome::Answered)
        return;
    std::string kind = text(nameOf(answer.outcome)) + " " + text(nameOf(answer.reason));
    if (auto suppressed = this->log.admit(kind, now))
        writeLog(LogLevel::Warning,
            LogLine("request_not_answered")
                .add("request", answer.request.string())
                .add("queue", queueLabel)
                .add("team", answer.team.string())
                .add("outcome", nameOf(answer.outcome))
                .add("reason", nameOf(answer.reason))
                .add("suppressed", *suppressed));
}

void RequestObserver::recordBurn(const AnswerCaller& answer, const Queue& queue, Microseconds latency, Instant now)
{
    const auto& services = this->document->services;
    auto service = std::find_if(services.begin(), services.end(),
        [&queue](const Service& candidate) { return candidate.name == queue.service; });
    if (service == services.end() || !countsForObjective(answer.reason))
        return;
    bool isGood = answer.outcome == Outcome::Answered && latency <= Milliseconds(service->latencyObjectiveMilliseconds);
    this->burn.record(now, service->name, answer.team, service->objectivePercent, isGood);
}

void RequestObserver::refused(CallerRefusal refusal)
{
    this->registry
        .counter(
            "greengage_refusals_total", "Requests refused for their form.", { { "reason", text(nameOf(refusal)) } })
        .add();
    if (auto suppressed = this->log.admit("refused " + text(nameOf(refusal)), BootClock::now()))
        writeLog(LogLevel::Warning,
            LogLine("request_refused").add("reason", nameOf(refusal)).add("suppressed", *suppressed));
}

void RequestObserver::connectionClosed(const char* listener, CloseReason reason)
{
    this->registry
        .counter("greengage_connections_closed_total", "Connections that were closed to keep the limits, by reason.",
            { { "listener", listener }, { "reason", text(nameOf(reason)) } })
        .add();
}

void RequestObserver::attemptEnded(const AttemptEnded& ended)
{
    this->registry
        .counter("greengage_attempts_total", "Attempts at endpoints by how they ended.",
            { { "result", text(nameOf(ended.result)) } })
        .add();
    if (ended.result == AttemptResult::Answered)
        return;
    if (auto suppressed = this->log.admit("attempt " + text(nameOf(ended.result)), BootClock::now()))
        writeLog(LogLevel::Warning,
            LogLine("attempt_failed")
                .add("request", ended.request.string())
                .add("attempt", ended.attempt)
                .add("endpoint", ended.endpoint.string())
                .add("result", nameOf(ended.result))
                .add("suppressed", *suppressed));
}

} // namespace Greengage
