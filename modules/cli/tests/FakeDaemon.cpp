#include <cli/tests/FakeDaemon.h>

#include <config/config.h>
#include <standins/common/HttpReplies.h>

#include <variant>

namespace Greengage {

namespace {

constexpr int conflictStatus = 409;
constexpr int invalidDocumentStatus = 422;
const std::string acceptedAuthorization = "Bearer operator-key";

/// Applies a submission to the shared document, as a daemon does with DocumentAcceptance and the store.
AcceptanceOutcome accept(FakeFleet& fleet, const DocumentSubmission& submission)
{
    std::string baseText;
    if (auto change = DocumentAcceptance::baseChange(fleet.record, submission))
        baseText = fleet.history[*change];
    auto outcome = DocumentAcceptance::evaluate(fleet.record, baseText, submission, fleet.unixMilliseconds);
    if (const auto* accepted = std::get_if<AcceptedChange>(&outcome)) {
        fleet.record = accepted->record;
        fleet.history[submission.changeId] = fleet.record.text;
        fleet.unixMilliseconds += 60'000;
    }
    return outcome;
}

} // namespace

FakeDaemon::FakeDaemon(Loop& loop, FakeFleet& fleet, std::string name, const std::string& address, std::uint16_t port)
    : loop(loop)
    , fleet(fleet)
    , name(std::move(name))
    , service(loop, address, port, [this](evhttp_request* request) { this->handle(request); })
{
    fleet.daemons.push_back(this->name);
}

void FakeDaemon::handle(evhttp_request* request)
{
    auto path = HttpReplies::path(request);
    const std::string historyPrefix = "/v1/history/";
    if (HttpReplies::header(request, "Authorization") != acceptedAuthorization)
        HttpReplies::text(request, 401, "");
    else if (path == "/v1/document" && !HttpReplies::body(request).empty())
        this->answerSubmission(request);
    else if (path == "/v1/document")
        HttpReplies::text(request, 200, DocumentCodec::encode(this->fleet.record));
    else if (path == "/v1/status")
        this->answerStatus(request);
    else if (path.starts_with(historyPrefix))
        this->answerHistory(request, path.substr(historyPrefix.size()));
    else if (path == "/v1/burn")
        HttpReplies::text(request, 200,
            R"({"rows":[{"service":"pricing","team":"desk","objectivePercent":99.0,"windows":)"
            R"({"5m":{"total":100,"good":98},"1h":{"total":100,"good":98},"6h":{"total":100,"good":99},)"
            R"("3d":{"total":100,"good":99}}}]})");
    else
        this->answerWave(request, path);
}

void FakeDaemon::answerSubmission(evhttp_request* request)
{
    ++this->fleet.submissions;
    auto fault = SubmissionFault::None;
    if (!this->fleet.submissionFaults.empty()) {
        fault = this->fleet.submissionFaults.front();
        this->fleet.submissionFaults.pop_front();
    }
    if (fault == SubmissionFault::RequestLost)
        return HttpReplies::closeWithoutAnswer(this->loop, request);
    if (fault == SubmissionFault::NotAccepted)
        return HttpReplies::text(request, 503, R"({"outcome":"not_accepted"})");
    auto submission = AdminCodec::decodeSubmission(HttpReplies::body(request));
    if (submission.has_error())
        return HttpReplies::text(request, 400, submission.error().message);
    auto outcome = accept(this->fleet, submission.value());
    if (fault == SubmissionFault::AnswerLostThenEdited) {
        auto text = this->fleet.record.text;
        accept(this->fleet, { "edit", "ivo", this->fleet.record.revision, text + "max_unavailable = 3\n" });
    }
    if (fault == SubmissionFault::AnswerLost || fault == SubmissionFault::AnswerLostThenEdited)
        return HttpReplies::closeWithoutAnswer(this->loop, request);
    if (fault == SubmissionFault::Unknown)
        return HttpReplies::text(request, 503, R"({"outcome":"unknown"})");
    if (const auto* conflicts = std::get_if<SectionConflicts>(&outcome))
        return HttpReplies::text(request, conflictStatus, AdminCodec::encodeConflicts(*conflicts));
    if (const auto* errors = std::get_if<ConfigErrors>(&outcome))
        return HttpReplies::text(request, invalidDocumentStatus, AdminCodec::encodeErrors(*errors));
    ApplyAnswer answer { this->fleet.record.revision, this->fleet.staleStatusReports == 0, {} };
    if (const auto* alreadyInForce = std::get_if<AlreadyInForce>(&outcome))
        answer.revision = alreadyInForce->revision;
    if (!answer.inForce)
        answer.behind = { this->fleet.daemons.back() };
    HttpReplies::text(request, 200, AdminCodec::encodeAnswer(answer));
}

void FakeDaemon::answerStatus(evhttp_request* request)
{
    StatusReport report;
    report.daemon = DaemonId(this->name);
    report.revision = this->fleet.record.revision;
    report.inForceRevision = report.revision;
    report.storeReachable = true;
    report.fresh = true;
    for (const auto& daemon : this->fleet.daemons)
        report.daemons.push_back({ DaemonId(daemon), ZoneId("zone-1"), report.revision, 0 });
    if (this->fleet.staleStatusReports > 0) {
        --this->fleet.staleStatusReports;
        --report.inForceRevision;
        --report.daemons.back().revision;
        report.daemons.back().lastSeenMillisecondsAgo = 1500;
    }
    report.waves = { { WaveId("kernel-update"), "running", 3, 2, { VmId("vm-1-2") } } };
    report.endpoints = { { VmId("vm-1-1"), ServiceId("pricing"), "live", 3 },
        { VmId("vm-2-1"), ServiceId("pricing"), "live", 2 }, { VmId("vm-1-2"), ServiceId("pricing"), "leaving", 1 } };
    HttpReplies::text(request, 200, StatusCodec::encode(report));
}

void FakeDaemon::answerHistory(evhttp_request* request, const std::string& change)
{
    auto found = this->fleet.history.find(change);
    if (found == this->fleet.history.end())
        return HttpReplies::text(request, 404, "");
    HttpReplies::text(request, 200, found->second);
}

void FakeDaemon::answerWave(evhttp_request* request, const std::string& path)
{
    if (path == "/v1/waves/kernel-update/plan") {
        return HttpReplies::text(request, 200,
            R"({"wave":"kernel-update","expectedSeconds":180,"bufferVms":1,"steps":[)"
            R"({"vm":"vm-1-1","pool":"pricing","startSecond":0},{"vm":"vm-2-1","pool":"pricing","startSecond":60}]})");
    }
    if (!path.starts_with("/v1/waves/kernel-update/"))
        return HttpReplies::text(request, 404, R"({"outcome":"unknown_wave"})");
    this->fleet.waveCommands.push_back(path.substr(path.rfind('/') + 1));
    if (std::exchange(this->fleet.loseNextWaveAnswer, false))
        return HttpReplies::closeWithoutAnswer(this->loop, request);
    HttpReplies::text(request, 200, R"({"outcome":"accepted"})");
}

} // namespace Greengage
