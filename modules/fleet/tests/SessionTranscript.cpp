#include <fleet/tests/SessionTranscript.h>

#include <config/model/Document.h>
#include <core/log/LogLine.h>

namespace Greengage {

namespace {

/// Formats an instant in milliseconds of the virtual clock.
std::string formatTime(Instant instant)
{
    if (instant == Instant::max())
        return "never";
    return std::to_string(std::chrono::floor<Milliseconds>(instant.time_since_epoch()).count());
}

std::string formatTime(Deadline deadline) { return formatTime(deadline.at()); }

class MessageFormatter {
public:
    LogLine operator()(const RequestArrived& message) const
    {
        auto key = message.bearer.substr(0, message.bearer.find('.'));
        return LogLine("RequestArrived")
            .add("request", message.request.string())
            .add("queue", message.queue.string())
            .add("key", key)
            .add("idempotencyKey", message.idempotencyKey)
            .add("deadline", formatTime(message.deadline));
    }

    LogLine operator()(const CallerLeft& message) const
    {
        return LogLine("CallerLeft").add("request", message.request.string());
    }

    LogLine operator()(const DocumentApplied& message) const
    {
        return LogLine("DocumentApplied")
            .add("revision", message.document->revision)
            .add("keys", message.document->keys.size());
    }

    LogLine operator()(const EndpointsListed& message) const
    {
        return LogLine("EndpointsListed").add("vms", message.vms.size()).add("draining", message.draining.size());
    }

    LogLine operator()(const StoreConfirmed& message) const
    {
        return LogLine("StoreConfirmed")
            .add("askedAt", formatTime(message.askedAt))
            .add("revision", message.documentRevision);
    }

    LogLine operator()(const ClaimSettled& message) const
    {
        return LogLine("ClaimSettled").add("request", message.request.string()).add("result", nameOf(message.result));
    }

    LogLine operator()(const AttemptEnded& message) const
    {
        return LogLine("AttemptEnded")
            .add("request", message.request.string())
            .add("attempt", message.attempt)
            .add("result", nameOf(message.result));
    }

    LogLine operator()(const RunningReported& message) const
    {
        return LogLine("RunningReported")
            .add("endpoint", message.endpoint.string())
            .add("askedAt", formatTime(message.askedAt))
            .add("running", message.running.size());
    }

    LogLine operator()(const AllotmentsRead& message) const
    {
        return LogLine("AllotmentsRead")
            .add("version", message.version)
            .add("ownWrite", message.ownWrite)
            .add("value", message.value);
    }

    LogLine operator()(const AllotmentsWriteFailed& message) const
    {
        return LogLine("AllotmentsWriteFailed").add("mayHaveTakenEffect", message.mayHaveTakenEffect);
    }

    LogLine operator()(const PeerHeard& message) const
    {
        return LogLine("PeerHeard")
            .add("incarnation", message.state.incarnation.string())
            .add("askedAt", formatTime(message.askedAt))
            .add("known", message.state.knownRevision)
            .add("sightings", message.state.sightings.size())
            .add("demand", message.state.demand.size());
    }

    LogLine operator()(const MembersListed& message) const
    {
        return LogLine("MembersListed").add("members", message.members.size());
    }

    LogLine operator()(const ShutdownRequested&) const { return LogLine("ShutdownRequested"); }

    LogLine operator()(const SendAttempt& message) const
    {
        return LogLine("SendAttempt")
            .add("request", message.request.string())
            .add("attempt", message.attempt)
            .add("endpoint", message.endpoint.string())
            .add("team", message.team.string())
            .add("notAfter", formatTime(message.notAfter))
            .add("answerBy", formatTime(message.answerBy))
            .add("fresh", message.freshConnection);
    }

    LogLine operator()(const AnswerCaller& message) const
    {
        return LogLine("AnswerCaller")
            .add("request", message.request.string())
            .add("outcome", nameOf(message.outcome))
            .add("reason", nameOf(message.reason))
            .add("attempt", message.attempt)
            .add("retryAfterMs", message.retryAfter.count());
    }

    LogLine operator()(const WriteClaim& message) const
    {
        return LogLine("WriteClaim")
            .add("request", message.request.string())
            .add("settleBy", formatTime(message.settleBy));
    }

    LogLine operator()(const UpdateAllotments& message) const
    {
        return LogLine("UpdateAllotments").add("expected", message.expectedVersion).add("value", message.value);
    }

    LogLine operator()(const AskRunning& message) const
    {
        return LogLine("AskRunning").add("endpoint", message.endpoint.string());
    }
};

template <typename Message> std::string format(const Message& message)
{
    constexpr std::size_t prefix = sizeof("event=") - 1;
    return std::visit(MessageFormatter(), message).text().substr(prefix);
}

} // namespace

void SessionTranscript::add(
    Instant now, const std::vector<RequestInput>& inbox, const std::vector<RequestOutput>& outbox)
{
    this->lines += "@" + formatTime(now) + "\n";
    for (const auto& input : inbox)
        this->lines += "> " + format(input) + "\n";
    for (const auto& output : outbox)
        this->lines += "< " + format(output) + "\n";
}

} // namespace Greengage
