#include <standins/minion/Endpoint.h>

#include <core/log/LogLine.h>
#include <standins/common/HistoryFile.h>
#include <standins/common/HttpReplies.h>
#include <standins/common/Loop.h>
#include <standins/common/WorkOrder.h>

#include <algorithm>
#include <event2/http.h>
#include <json/value.h>
#include <utility>

namespace Greengage {

namespace {

constexpr int misdirectedStatus = 421;

void echoRequestId(evhttp_request* request)
{
    auto id = HttpReplies::header(request, "Greengage-Request");
    if (!id.empty())
        evhttp_add_header(evhttp_request_get_output_headers(request), "Greengage-Request", id.c_str());
}

} // namespace

Endpoint::Endpoint(Loop& loop, HistoryFile& history, EndpointSettings settings)
    : loop(loop)
    , history(history)
    , settings(std::move(settings))
    , service(
          loop, this->settings.address, this->settings.port, [this](evhttp_request* request) { this->handle(request); })
{
}

bool Endpoint::start() { return this->service.listen(); }

void Endpoint::handle(evhttp_request* request)
{
    auto* connection = evhttp_request_get_connection(request);
    if (!this->admitConnection(connection)) {
        HttpReplies::closeWithoutAnswer(this->loop, request);
        return;
    }
    if (this->unresponsiveConnections.contains(connection))
        return;
    if (this->faults.frozen)
        this->deferredRequests.push_back(request);
    else
        this->serve(request);
}

bool Endpoint::admitConnection(evhttp_connection* connection)
{
    if (!this->connections.contains(connection) && this->connections.size() >= this->settings.connections)
        return false;
    this->connections.insert(connection);
    evhttp_connection_set_closecb(connection, handleConnectionClosed, this);
    return true;
}

void Endpoint::serve(evhttp_request* request)
{
    auto path = HttpReplies::path(request);
    echoRequestId(request);
    auto intendedVm = HttpReplies::header(request, "Greengage-Endpoint");
    if (path == "/running")
        this->reportRunning(request);
    else if (path != "/run")
        HttpReplies::text(request, HTTP_NOTFOUND, "unknown path " + path);
    else if (!intendedVm.empty() && intendedVm != this->settings.vm)
        HttpReplies::text(request, misdirectedStatus, "this is " + this->settings.vm + ", not " + intendedVm);
    else if (this->faults.leaving || this->running.size() >= this->settings.slots) {
        ++this->refused;
        HttpReplies::text(request, HTTP_SERVUNAVAIL, this->faults.leaving ? "leaving" : "slots full");
    } else
        this->run(request);
}

void Endpoint::run(evhttp_request* request)
{
    RunningJob job;
    job.request = HttpReplies::header(request, "Greengage-Request");
    job.team = HttpReplies::header(request, "Greengage-Team");
    job.incarnation = HttpReplies::header(request, "Greengage-Incarnation");
    job.body = HttpReplies::body(request);
    auto order = WorkOrder::fromBody(job.body);
    job.call = order.call;
    job.exchange = request;
    this->record("start", job);
    auto number = ++this->lastJob;
    ++this->started;
    this->running.emplace(number, std::move(job));
    this->mostRunning = std::max(this->mostRunning, this->running.size());
    auto runTime = order.runMilliseconds < 0 ? this->settings.runTime : Milliseconds(order.runMilliseconds);
    this->loop.callLater(runTime, [this, number] { this->finish(number); });
}

void Endpoint::finish(std::uint64_t number)
{
    auto found = this->running.find(number);
    if (found == this->running.end())
        return;
    if (this->faults.frozen) {
        this->deferredJobs.push_back(number);
        return;
    }
    auto job = std::move(found->second);
    this->running.erase(found);
    this->record("end", job);
    if (this->faults.answerDelay == Milliseconds::zero()) {
        this->answer(job);
        return;
    }
    this->awaitingAnswer.emplace(number, std::move(job));
    this->loop.callLater(this->faults.answerDelay, [this, number] { this->sendDelayedAnswer(number); });
}

void Endpoint::sendDelayedAnswer(std::uint64_t number)
{
    auto entry = this->awaitingAnswer.extract(number);
    if (entry)
        this->answer(entry.mapped());
}

void Endpoint::answer(RunningJob& job)
{
    if (!job.exchange || this->cannotAnswer(job.exchange))
        return;
    auto body = WorkOrder::answerFor(job.body);
    if (this->faults.crashInNextAnswer || this->faults.answersToTruncate > 0) {
        HttpReplies::truncated(this->loop, job.exchange, job.request, body, body.size() / 2);
        this->connections.erase(evhttp_request_get_connection(job.exchange));
        this->faults.answersToTruncate = std::max(0, this->faults.answersToTruncate - 1);
        if (this->faults.crashInNextAnswer)
            this->crash();
        return;
    }
    HttpReplies::text(job.exchange, HTTP_OK, body);
}

bool Endpoint::cannotAnswer(evhttp_request* request) const
{
    auto* connection = evhttp_request_get_connection(request);
    return !connection || !this->connections.contains(connection) || this->unresponsiveConnections.contains(connection);
}

void Endpoint::reportRunning(evhttp_request* request)
{
    Json::Value json;
    json["running"] = Json::arrayValue;
    for (const auto& [number, job] : this->running) {
        Json::Value item;
        item["request"] = job.request;
        item["team"] = job.team;
        item["incarnation"] = job.incarnation;
        json["running"].append(item);
    }
    HttpReplies::json(request, json);
}

void Endpoint::record(const char* event, const RunningJob& job)
{
    this->history.append(LogLine(event)
                             .add("request", job.request)
                             .add("team", job.team)
                             .add("at", HistoryFile::now())
                             .add("vm", this->settings.vm)
                             .add("incarnation", job.incarnation)
                             .add("call", job.call));
}

void Endpoint::handleConnectionClosed(evhttp_connection* connection, void* context)
{
    static_cast<Endpoint*>(context)->removeConnection(connection);
}

void Endpoint::removeConnection(evhttp_connection* connection)
{
    this->connections.erase(connection);
    this->unresponsiveConnections.erase(connection);
    auto isOfConnection
        = [connection](evhttp_request* request) { return evhttp_request_get_connection(request) == connection; };
    std::erase_if(this->deferredRequests, isOfConnection);
    for (auto* jobs : { &this->running, &this->awaitingAnswer }) {
        for (auto& [number, job] : *jobs) {
            if (job.exchange && isOfConnection(job.exchange))
                job.exchange = nullptr;
        }
    }
}

void Endpoint::applyControl(const Json::Value& json)
{
    this->faults.leaving = json.get("leaving", this->faults.leaving).asBool();
    this->faults.answersToTruncate = json.get("truncateAnswers", this->faults.answersToTruncate).asInt();
    this->faults.crashInNextAnswer = json.get("dieInNextAnswer", this->faults.crashInNextAnswer).asBool();
    if (json.isMember("answerDelayMs"))
        this->faults.answerDelay = Milliseconds(json["answerDelayMs"].asInt());
    if (json.isMember("runMs"))
        this->settings.runTime = Milliseconds(json["runMs"].asInt());
    if (json.get("silenceConnections", false).asBool())
        this->unresponsiveConnections = this->connections;
    if (json.isMember("frozen"))
        this->setFrozen(json["frozen"].asBool());
    if (json.get("die", false).asBool())
        this->crash();
    if (json.get("revive", false).asBool())
        this->service.listen();
}

void Endpoint::setFrozen(bool frozen)
{
    this->faults.frozen = frozen;
    if (frozen)
        return;
    for (auto number : std::exchange(this->deferredJobs, {}))
        this->finish(number);
    for (auto* request : std::exchange(this->deferredRequests, {}))
        this->serve(request);
}

void Endpoint::crash()
{
    ++this->crashes;
    this->service.stopListening();
    for (const auto& [number, job] : this->running)
        this->record("killed", job);
    this->running.clear();
    this->awaitingAnswer.clear();
    this->deferredRequests.clear();
    this->deferredJobs.clear();
    this->faults.crashInNextAnswer = false;
    auto closing = std::exchange(this->connections, {});
    this->unresponsiveConnections.clear();
    this->loop.callLater(Microseconds::zero(), [closing] {
        for (auto* connection : closing)
            evhttp_connection_free(connection);
    });
}

Json::Value Endpoint::describe() const
{
    Json::Value json;
    json["vm"] = this->settings.vm;
    json["running"] = Json::UInt64(this->running.size());
    json["mostRunning"] = Json::UInt64(this->mostRunning);
    json["started"] = Json::UInt64(this->started);
    json["deaths"] = this->crashes;
    json["refused"] = Json::UInt64(this->refused);
    json["connections"] = Json::UInt64(this->connections.size());
    return json;
}

} // namespace Greengage
