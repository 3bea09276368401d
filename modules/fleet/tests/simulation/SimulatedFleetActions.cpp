#include <fleet/tests/simulation/SimulatedFleet.h>

namespace Greengage {

namespace {

constexpr Milliseconds connectTimeout { 200 };
constexpr Milliseconds lostAnswerTimeout { 500 };
/// Delay from the loss of its answer until a late write takes effect.
constexpr Milliseconds lateWriteDelay { 900 };

} // namespace

std::size_t SimulatedFleet::submit(std::size_t daemon, const std::string& queue, const std::string& key,
    Microseconds timeout, Microseconds runTime, const std::string& idempotencyKey)
{
    auto index = this->records.size();
    OutcomeRecord record;
    record.queue = QueueId(queue);
    record.submittedAt = this->clock.current();
    this->records.push_back(record);
    RequestArrived arrived;
    arrived.request = RequestId(std::to_string(index));
    arrived.queue = record.queue;
    arrived.idempotencyKey = idempotencyKey;
    arrived.bearer = key.empty() ? key : key + ".secret-" + key;
    arrived.deadline = Deadline::after(this->clock.current(), timeout);
    this->runTimes[arrived.request] = runTime;
    if (this->daemons[daemon].alive)
        this->deliver(daemon, this->daemons[daemon].identity.incarnation, arrived);
    return index;
}

FakeEndpoint& SimulatedFleet::endpointOf(const VmId& id)
{
    for (auto& endpoint : this->endpoints) {
        if (endpoint.vm.id == id)
            return endpoint;
    }
    return this->endpoints.front();
}

void SimulatedFleet::execute(std::size_t daemon, const AnswerCaller& answer)
{
    auto& record = this->records[std::stoul(answer.request.string())];
    record.ended = true;
    record.endedAt = this->clock.current();
    record.team = answer.team;
    record.outcome = answer.outcome;
    record.reason = answer.reason;
    static_cast<void>(daemon);
}

void SimulatedFleet::execute(std::size_t daemon, const WriteClaim& claim)
{
    auto incarnation = this->daemons[daemon].identity.incarnation;
    bool reached = this->reachesStore(this->daemons[daemon]);
    this->after(this->options.storeDelay, [=, this] {
        auto result = ClaimResult::NotMade;
        bool lost = this->uniform() < this->options.lostClaimAnswers;
        if (reached && lost) {
            if (this->uniform() < 0.5)
                this->claims.insert(claim.storeKey);
            result = ClaimResult::Unsettled;
        } else if (reached)
            result = this->claims.insert(claim.storeKey).second ? ClaimResult::Won : ClaimResult::Held;
        this->deliver(daemon, incarnation, ClaimSettled { claim.request, result });
    });
}

void SimulatedFleet::execute(std::size_t daemon, const UpdateAllotments& update)
{
    this->store.calls += 1;
    auto incarnation = this->daemons[daemon].identity.incarnation;
    auto answer = [=, this](RequestInput input) { this->deliver(daemon, incarnation, std::move(input)); };
    if (!this->reachesStore(this->daemons[daemon])) {
        this->after(lostAnswerTimeout, [=] { answer(AllotmentsWriteFailed { false }); });
        return;
    }
    auto draw = this->uniform();
    bool late = draw < this->options.lateWrites;
    bool lost = draw < this->options.lateWrites + this->options.lostWriteAnswers;
    auto delay = late ? Microseconds(lostAnswerTimeout + lateWriteDelay) : this->options.storeDelay;
    this->after(delay, [=, this] {
        bool written = this->store.write(update.expectedVersion, update.value);
        if (written)
            this->announceAllotments();
        if (lost)
            return;
        if (written)
            return answer(AllotmentsRead { this->store.version, update.value, true });
        answer(AllotmentsWriteFailed { false });
        answer(AllotmentsRead { this->store.version, this->store.value, false });
    });
    if (lost)
        this->after(lostAnswerTimeout, [=] { answer(AllotmentsWriteFailed { true }); });
}

void SimulatedFleet::execute(std::size_t daemon, const AskRunning& ask)
{
    auto askedAt = this->clock.current();
    auto incarnation = this->daemons[daemon].identity.incarnation;
    this->after(this->options.networkDelay, [=, this] {
        const auto& endpoint = this->endpointOf(ask.endpoint);
        if (endpoint.silent || !this->connected(this->daemons[daemon].identity.zone, endpoint.vm.zone))
            return;
        RunningReported report { ask.endpoint, askedAt, {} };
        for (const auto& [id, work] : endpoint.running)
            report.running.push_back(work);
        this->after(this->options.networkDelay, [=, this] { this->deliver(daemon, incarnation, report); });
    });
}

void SimulatedFleet::execute(std::size_t daemon, const SendAttempt& attempt)
{
    auto incarnation = this->daemons[daemon].identity.incarnation;
    this->after(Microseconds(200), [=, this] { this->sendFirstByte(daemon, incarnation, attempt); });
}

void SimulatedFleet::sendFirstByte(std::size_t index, const IncarnationId& incarnation, const SendAttempt& attempt)
{
    auto& daemon = this->daemons[index];
    if (!daemon.alive || daemon.identity.incarnation != incarnation)
        return;
    if (daemon.frozen) {
        this->after(Milliseconds(5), [=, this] { this->sendFirstByte(index, incarnation, attempt); });
        return;
    }
    if (attempt.notAfter.hasPassed(this->clock.current()))
        return this->endAttempt(index, incarnation, attempt, AttemptResult::NotSent);
    if (!this->connected(daemon.identity.zone, this->endpointOf(attempt.endpoint).vm.zone)) {
        this->after(
            connectTimeout, [=, this] { this->endAttempt(index, incarnation, attempt, AttemptResult::NotSent); });
        return;
    }
    this->records[std::stoul(attempt.request.string())].sends += 1;
    this->after(this->options.networkDelay, [=, this] { this->receiveAttempt(index, incarnation, attempt); });
}

void SimulatedFleet::receiveAttempt(std::size_t index, const IncarnationId& incarnation, const SendAttempt& attempt)
{
    auto& endpoint = this->endpointOf(attempt.endpoint);
    auto end = [=, this](AttemptResult result) { this->endAttempt(index, incarnation, attempt, result); };
    if (endpoint.silent) {
        this->after(attempt.answerBy.remaining(this->clock.current()), [=] { end(AttemptResult::Silent); });
        return;
    }
    if (endpoint.running.size() >= FakeEndpoint::slots) {
        endpoint.refusals += 1;
        this->after(this->options.networkDelay, [=] { end(AttemptResult::Refused); });
        return;
    }
    RunningWork work { attempt.request, attempt.team, incarnation };
    endpoint.running[attempt.request] = work;
    this->records[std::stoul(attempt.request.string())].begun += 1;
    if (this->onBegin)
        this->onBegin(work);
    bool broken = this->uniform() < this->options.brokenAttempts;
    if (broken)
        this->after(Milliseconds(2), [=] { end(AttemptResult::Broken); });
    this->after(this->runTimes[attempt.request], [=, this] {
        this->endpointOf(attempt.endpoint).running.erase(attempt.request);
        if (broken)
            return;
        bool inTime = !attempt.answerBy.hasPassed(this->clock.current());
        end(inTime ? AttemptResult::Answered : AttemptResult::Silent);
    });
}

void SimulatedFleet::endAttempt(
    std::size_t index, const IncarnationId& incarnation, const SendAttempt& attempt, AttemptResult result)
{
    this->deliver(index, incarnation, AttemptEnded { attempt.request, attempt.attempt, attempt.endpoint, result });
}

} // namespace Greengage
