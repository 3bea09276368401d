#include <daemon/admin/AdminApi.h>

#include <config/admin/AdminCodec.h>
#include <config/admin/StatusCodec.h>
#include <config/document/DocumentCodec.h>
#include <config/json/JsonText.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/BootClock.h>
#include <daemon/admin/DocumentSubmitter.h>
#include <daemon/configuration/KnownConfiguration.h>
#include <store/store/StoreClient.h>
#include <store/store/StoreEntry.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr Milliseconds rolloutTimeout { 8000 };
constexpr Milliseconds rolloutCheckInterval { 20 };
constexpr std::size_t maxSubmissions = 16;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
constexpr int statusUnavailable = 503;
constexpr std::string_view historyPath = "/v1/history/";

AdminResponse json(int status, std::string body) { return { status, "application/json", std::move(body) + "\n" }; }

AdminResponse errorText(int status, const std::string& message)
{
    Json::Value value(Json::objectValue);
    value["error"] = message;
    return json(status, writeJson(value));
}

AdminResponse failureText(SubmissionFailure failure)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = std::string(nameOf(failure));
    return json(statusUnavailable, writeJson(value));
}

} // namespace

AdminApi::AdminApi(event_base& base, StoreClient& store, Sources sources)
    : base(base)
    , store(store)
    , sources(std::move(sources))
    , rolloutTimer(base, [this] { this->checkRollouts(); })
{
}

AdminApi::~AdminApi() = default;

void AdminApi::handle(const AdminRequest& request, AdminServer::Responder respond)
{
    if (request.path == "/v1/document" && request.isPost)
        this->submit(request.body, std::move(respond));
    else if (request.path == "/v1/document") {
        if (this->sources.configuration.record)
            respond(json(200, DocumentCodec::encode(*this->sources.configuration.record)));
        else
            respond(errorText(statusUnavailable, "this daemon has no document yet"));
    } else if (request.path.starts_with(historyPath))
        this->readHistory(request.path.substr(historyPath.size()), std::move(respond));
    else if (request.path == "/v1/status")
        respond(json(200, StatusCodec::encode(this->sources.status())));
    else if (request.path == "/v1/burn")
        respond(json(200, this->sources.burnRows()));
    else if (request.path == "/metrics")
        respond({ 200, "text/plain; version=0.0.4", this->sources.metricsPage() });
    else
        respond(errorText(statusNotFound, "unknown path"));
}

void AdminApi::readHistory(const std::string& changeId, AdminServer::Responder respond)
{
    this->store.read("config/history/" + changeId, [respond](const Result<StoreEntry, StoreError>& entry) {
        if (entry.has_value())
            respond({ 200, "text/plain", entry.value().value });
        else if (entry.error().code == StoreErrorCode::NotFound)
            respond(errorText(statusNotFound, "the history holds no change with this id"));
        else
            respond(errorText(statusUnavailable, "the store is unreachable"));
    });
}

void AdminApi::submit(const std::string& body, AdminServer::Responder respond)
{
    auto submission = AdminCodec::decodeSubmission(body);
    if (!submission.has_value()) {
        respond(json(statusUnprocessable, AdminCodec::encodeErrors({ { { "", "", 0, submission.error().message } } })));
        return;
    }
    std::erase_if(this->submitters, [](const auto& submitter) { return submitter->isFinished(); });
    if (this->submitters.size() >= maxSubmissions) {
        respond(failureText(SubmissionFailure::NotAccepted));
        return;
    }
    writeLog(LogLevel::Info,
        LogLine("document_submitted")
            .add("change", submission.value().changeId)
            .add("author", submission.value().author)
            .add("base", submission.value().baseRevision));
    this->submitters.push_back(std::make_unique<DocumentSubmitter>(this->base, this->store,
        std::move(submission.value()), [this, respond = std::move(respond)](SubmissionOutcome outcome) {
            this->handleOutcome(std::move(outcome), respond);
        }));
    this->submitters.back()->start();
}

void AdminApi::handleOutcome(SubmissionOutcome outcome, const AdminServer::Responder& respond)
{
    if (auto* record = std::get_if<DocumentRecord>(&outcome)) {
        this->sources.onDocumentStored(*record);
        this->awaitRollout(record->revision, respond);
    } else if (auto* existing = std::get_if<AlreadyInForce>(&outcome))
        this->awaitRollout(existing->revision, respond);
    else if (auto* conflicts = std::get_if<SectionConflicts>(&outcome))
        respond(json(statusConflict, AdminCodec::encodeConflicts(*conflicts)));
    else if (auto* errors = std::get_if<ConfigErrors>(&outcome))
        respond(json(statusUnprocessable, AdminCodec::encodeErrors(*errors)));
    else
        respond(failureText(std::get<SubmissionFailure>(outcome)));
}

void AdminApi::awaitRollout(std::uint64_t revision, AdminServer::Responder respond)
{
    Instant now = BootClock::now();
    this->rollouts.push_back({ revision, now, Deadline::after(now, rolloutTimeout), std::move(respond) });
    this->rolloutTimer.schedule(Microseconds::zero());
}

void AdminApi::checkRollouts()
{
    Instant now = BootClock::now();
    std::erase_if(this->rollouts, [this, now](const Rollout& rollout) {
        auto behind = this->sources.rollout.daemonsBehind(rollout.revision, rollout.acceptedAt, now);
        bool isAppliedHere = this->sources.configuration.appliedRevision() >= rollout.revision;
        bool inForce = behind.empty() && isAppliedHere;
        if (!inForce && !rollout.answerBy.hasPassed(now))
            return false;
        rollout.respond(json(200, AdminCodec::encodeAnswer({ rollout.revision, inForce, std::move(behind) })));
        return true;
    });
    if (!this->rollouts.empty())
        this->rolloutTimer.schedule(rolloutCheckInterval);
}

} // namespace Greengage
