#include <standins/caller/CallerProcess.h>

#include <core/log/LogLine.h>
#include <standins/common/JsonText.h>
#include <standins/common/Loop.h>
#include <standins/common/WorkOrder.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Greengage {

namespace {

constexpr double burstFactor = 5.0;
constexpr double quietFactor = 0.05;
constexpr int maxAttempts = 8;
constexpr Milliseconds retryPause { 100 };
constexpr Milliseconds maxRetryPause { 1000 };
/// How long after the request's deadline a caller still waits for an answer.
constexpr Milliseconds answerGrace { 3000 };
constexpr Milliseconds completionCheckInterval { 20 };
constexpr std::array<int, 6> finalStatuses { 400, 401, 404, 405, 409, 413 };

ObservedOutcome toObservedOutcome(const HttpResponse& answer)
{
    auto outcome = enumFromName<ObservedOutcome>(answer.header("Greengage-Outcome"));
    return outcome.value_or(ObservedOutcome::Broken);
}

Milliseconds retryPauseOf(const HttpResponse* answer)
{
    if (!answer)
        return retryPause;
    auto json = parseJsonObject(answer->body);
    if (!json || !(*json)["retryAfterMs"].isInt())
        return retryPause;
    return std::clamp(Milliseconds((*json)["retryAfterMs"].asInt()), retryPause, maxRetryPause);
}

} // namespace

CallerProcess::CallerProcess(Loop& loop, CallerOptions options)
    : loop(loop)
    , options(std::move(options))
    , history(this->options.historyPath)
    , random(this->options.seed)
{
    for (const auto& source : this->options.sources)
        this->clients.push_back(std::make_unique<HttpClient>(loop.base(), source));
}

void CallerProcess::start()
{
    this->begin = BootClock::now();
    this->end = Deadline::after(this->begin, this->options.duration);
    for (std::size_t load = 0; load < this->options.loads.size(); ++load)
        this->scheduleNext(load);
    this->stopIfDone();
}

void CallerProcess::stopIfDone()
{
    if (this->end.hasPassed(BootClock::now()) && this->openSubmissions == 0) {
        this->loop.stop();
        return;
    }
    this->loop.callLater(completionCheckInterval, [this] { this->stopIfDone(); });
}

double CallerProcess::currentRate(std::size_t load) const
{
    auto mean = this->options.loads[load].rate;
    if (this->options.burst == Milliseconds::zero())
        return mean;
    auto turn = static_cast<std::size_t>((BootClock::now() - this->begin) / this->options.burst);
    return mean * (turn % this->options.loads.size() == load ? burstFactor : quietFactor);
}

void CallerProcess::scheduleNext(std::size_t load)
{
    std::exponential_distribution<double> gap(this->currentRate(load));
    // A load outside its burst has long gaps, so it draws again often enough not to miss the start of its next burst.
    auto longest = this->options.burst == Milliseconds::zero() ? Milliseconds(1000) : this->options.burst / 4;
    auto drawn = Microseconds(static_cast<long long>(std::min(gap(this->random), 1e3) * 1e6));
    bool submits = drawn <= longest;
    this->loop.callLater(std::min<Microseconds>(drawn, longest), [this, load, submits] {
        if (this->end.hasPassed(BootClock::now()))
            return;
        if (submits)
            this->submit(load);
        this->scheduleNext(load);
    });
}

void CallerProcess::submit(std::size_t load)
{
    auto submission = std::make_shared<Submission>();
    submission->load = &this->options.loads[load];
    submission->name = this->options.name + "-" + std::to_string(++this->submitted);
    auto mean = submission->load->runMilliseconds;
    submission->runMilliseconds = std::uniform_int_distribution<int>(mean / 2, mean + mean / 2)(this->random);
    submission->deadline = Deadline::after(BootClock::now(), submission->load->deadline);
    submission->daemon = this->options.daemons.size();
    ++this->openSubmissions;
    this->attempt(submission);
}

void CallerProcess::attempt(const SubmissionPointer& submission)
{
    ++submission->attempts;
    this->chooseDaemon(*submission);
    WorkOrder order;
    order.call = submission->name + "." + std::to_string(submission->attempts);
    order.runMilliseconds = submission->runMilliseconds;
    order.answerBytes = submission->load->answerBytes;
    auto body = order.toBody(submission->load->bodyBytes);
    this->recordInvoke(*submission);
    auto& client = this->clients[this->submitted % this->clients.size()];
    client->send(
        this->makeCall(*submission, body), [this, submission, body](Result<HttpResponse, HttpFailure> outcome) {
            this->handleOutcome(submission, body, outcome);
        });
}

void CallerProcess::chooseDaemon(Submission& submission)
{
    auto count = this->options.daemons.size();
    auto chosen = std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
    if (chosen == submission.daemon)
        chosen = (chosen + 1) % count;
    submission.daemon = chosen;
}

HttpRequest CallerProcess::makeCall(const Submission& submission, const std::string& body) const
{
    const auto& daemon = this->options.daemons[submission.daemon];
    auto remaining = std::chrono::duration_cast<Milliseconds>(submission.deadline.remaining(BootClock::now()));
    remaining = std::max(remaining, Milliseconds(1));
    HttpRequest call;
    call.address = daemon.address;
    call.port = daemon.port;
    call.path = "/v1/queues/" + submission.load->queue;
    call.body = body;
    call.timeout = remaining + answerGrace;
    auto limit = submission.load->attemptLimit;
    // The attempt after which no other daemon can be tried in time waits for its outcome.
    if (limit > Milliseconds::zero() && limit + retryPause < remaining && submission.attempts < maxAttempts)
        call.timeout = limit;
    call.headers.push_back({ "Greengage-Timeout-Ms", std::to_string(remaining.count()) });
    if (!submission.load->bearer.empty())
        call.headers.push_back({ "Authorization", "Bearer " + submission.load->bearer });
    if (!submission.load->idempotent)
        call.headers.push_back({ "Idempotency-Key", submission.name });
    return call;
}

void CallerProcess::handleOutcome(
    const SubmissionPointer& submission, const std::string& body, const Result<HttpResponse, HttpFailure>& outcome)
{
    if (outcome) {
        auto observed = toObservedOutcome(outcome.value());
        this->recordAnswer(*submission, observed, body, &outcome.value());
        this->retryOrEnd(submission, observed, &outcome.value());
        return;
    }
    auto observed = outcome.error().mayHaveBeenSent ? ObservedOutcome::Broken : ObservedOutcome::NotSent;
    this->recordAnswer(*submission, observed, body, nullptr, outcome.error().detail);
    this->retryOrEnd(submission, observed, nullptr);
}

void CallerProcess::retryOrEnd(
    const SubmissionPointer& submission, ObservedOutcome observed, const HttpResponse* answer)
{
    bool isFinal = observed == ObservedOutcome::Answered;
    if (observed == ObservedOutcome::NotRun && answer)
        isFinal = std::find(finalStatuses.begin(), finalStatuses.end(), answer->status) != finalStatuses.end();
    auto pause = retryPauseOf(answer);
    auto next = BootClock::now() + pause;
    if (isFinal || submission->attempts >= maxAttempts || submission->deadline.hasPassed(next)) {
        --this->openSubmissions;
        return;
    }
    this->loop.callLater(pause, [this, submission] { this->attempt(submission); });
}

void CallerProcess::recordInvoke(const Submission& submission)
{
    const auto& load = *submission.load;
    const auto& daemon = this->options.daemons[submission.daemon];
    this->history.append(LogLine("invoke")
                             .add("call", submission.name + "." + std::to_string(submission.attempts))
                             .add("submission", submission.name)
                             .add("queue", load.queue)
                             .add("team", load.team)
                             .add("key", load.keyName())
                             .add("idempotency", load.idempotent ? "" : submission.name)
                             .add("daemon", daemon.address)
                             .add("at", HistoryFile::now()));
}

void CallerProcess::recordAnswer(const Submission& submission, ObservedOutcome observed, const std::string& body,
    const HttpResponse* answer, const std::string& failure)
{
    bool whole = observed != ObservedOutcome::Answered || answer->body == WorkOrder::answerFor(body);
    this->history.append(LogLine("answer")
                             .add("call", submission.name + "." + std::to_string(submission.attempts))
                             .add("outcome", nameOf(observed))
                             .add("reason", answer ? answer->header("Greengage-Reason") : "")
                             .add("request", answer ? answer->header("Greengage-Request") : "")
                             .add("status", answer ? answer->status : 0)
                             .add("whole", whole ? "true" : "false")
                             .add("failure", failure)
                             .add("at", HistoryFile::now()));
}

} // namespace Greengage
