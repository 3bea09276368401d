#include <standins/store/StoreService.h>

#include <core/log/LogLine.h>
#include <core/text/Digest.h>
#include <standins/common/HttpReplies.h>
#include <standins/common/JsonText.h>
#include <standins/common/Loop.h>

#include <event2/http.h>
#include <json/json.h>

namespace Greengage {

namespace {

constexpr Milliseconds timerInterval { 20 };
constexpr std::string_view pathPrefix = "/v1/";
constexpr std::string_view vmsPrefix = "vms/";
constexpr std::string_view rebootSuffix = "/reboot";

Json::Value toJson(const StoreEntry& entry)
{
    Json::Value json;
    json["key"] = entry.key;
    json["value"] = entry.value;
    json["version"] = Json::UInt64(entry.version);
    return json;
}

Json::Value toJson(const std::vector<StoreEntry>& entries)
{
    Json::Value json = Json::arrayValue;
    for (const auto& entry : entries)
        json.append(toJson(entry));
    return json;
}

std::vector<std::string> toStrings(const Json::Value& json)
{
    std::vector<std::string> strings;
    for (const auto& item : json)
        strings.push_back(item.asString());
    return strings;
}

StoreWrite toWrite(const Json::Value& json)
{
    return { json["key"].asString(), json["value"].asString(), json["expectedVersion"].asUInt64(),
        json["leaseId"].asString() };
}

} // namespace

StoreService::StoreService(Loop& loop, const std::string& address, std::uint16_t port, std::uint16_t controlPort,
    const std::string& historyPath)
    : loop(loop)
    , history(historyPath)
    , calls(loop, address, port, [this](evhttp_request* request) { this->handleCall(request); })
    , control(loop, address, controlPort, [this](evhttp_request* request) { this->handleControl(request); })
{
}

bool StoreService::start()
{
    this->runTimers();
    return this->calls.listen() && this->control.listen();
}

void StoreService::runTimers()
{
    this->state.expire(BootClock::now());
    for (const auto& vm : this->reboots.takeCompleted(BootClock::now()))
        this->history.append(LogLine("vm_live").add("vm", vm).add("at", HistoryFile::now()));
    this->answerWatches();
    this->loop.callLater(timerInterval, [this] { this->runTimers(); });
}

void StoreService::handleCall(evhttp_request* request)
{
    auto path = HttpReplies::path(request);
    auto kind = path.starts_with(pathPrefix) ? path.substr(pathPrefix.size()) : path;
    ++this->callCounts[kind];
    if (this->faults.outage == StoreOutage::Refuse) {
        HttpReplies::closeWithoutAnswer(this->loop, request);
        return;
    }
    if (this->faults.outage == StoreOutage::Unresponsive || this->faults.blocks(HttpReplies::peerAddress(request))) {
        this->unansweredRequests.insert(request);
        return;
    }
    auto body = HttpReplies::body(request);
    auto arguments = parseJsonObject(body.empty() ? "{}" : body);
    if (!arguments) {
        HttpReplies::text(request, HTTP_BADREQUEST, "body is not a JSON object");
        return;
    }
    try {
        this->serve(request, kind, *arguments);
    } catch (const Json::Exception& error) {
        HttpReplies::text(request, HTTP_BADREQUEST, error.what());
    }
}

void StoreService::serve(evhttp_request* request, const std::string& kind, const Json::Value& arguments)
{
    auto now = BootClock::now();
    Json::Value answer;
    if (kind == "read") {
        auto entry = this->state.read(arguments["key"].asString(), now);
        answer["found"] = entry.has_value();
        answer["value"] = entry ? entry->value : "";
        answer["version"] = Json::UInt64(entry ? entry->version : 0);
    } else if (kind == "write" || kind == "erase") {
        auto write = toWrite(arguments);
        auto result = kind == "write" ? this->state.write(write, now)
                                      : this->state.erase(write.key, write.expectedVersion, now);
        this->answerWrite(request, result, write.key);
        return;
    } else if (kind == "list") {
        answer["entries"] = toJson(this->state.list(arguments["prefix"].asString(), now));
        answer["storeRevision"] = Json::UInt64(this->state.revision());
    } else if (kind == "watch") {
        this->startWatch(request, arguments);
        return;
    } else if (kind == "lease/grant")
        answer["leaseId"] = this->state.grantLease(Milliseconds(arguments["ttlMs"].asInt64()), now);
    else if (kind == "lease/renew")
        answer["renewed"] = this->state.renewLease(arguments["leaseId"].asString(), now);
    else if (kind == "lease/revoke")
        answer["revoked"] = this->state.revokeLease(arguments["leaseId"].asString(), now);
    else if (kind == "vms") {
        answer["vms"] = this->vms.visible(now);
        this->answerVms(request, answer);
        return;
    } else if (kind.starts_with(vmsPrefix) && kind.ends_with(rebootSuffix)) {
        auto vm = kind.substr(vmsPrefix.size(), kind.size() - vmsPrefix.size() - rebootSuffix.size());
        answer = this->reboot(vm, arguments["operation"].asUInt64());
    } else {
        HttpReplies::text(request, HTTP_NOTFOUND, "unknown call " + kind);
        return;
    }
    this->reply(request, answer);
    this->answerWatches();
}

void StoreService::answerVms(evhttp_request* request, const Json::Value& answer)
{
    auto tag = "\"" + sha256Hex(toJsonText(answer)) + "\"";
    if (HttpReplies::header(request, "If-None-Match") == tag) {
        ++this->unchangedVmLists;
        HttpReplies::text(request, HTTP_NOTMODIFIED, "");
        return;
    }
    evhttp_add_header(evhttp_request_get_output_headers(request), "ETag", tag.c_str());
    this->reply(request, answer);
}

void StoreService::answerWrite(evhttp_request* request, StoreState::WriteResult result, const std::string& key)
{
    Json::Value answer;
    if (result == StoreState::WriteResult::LeaseExpired)
        answer["error"] = "lease_lapsed";
    else {
        answer["written"] = result == StoreState::WriteResult::Written;
        answer["version"] = Json::UInt64(this->state.currentVersion(key));
    }
    if (this->faults.writeAnswersToLose > 0) {
        --this->faults.writeAnswersToLose;
        HttpReplies::closeWithoutAnswer(this->loop, request);
    } else
        this->reply(request, answer);
    this->answerWatches();
}

void StoreService::startWatch(evhttp_request* request, const Json::Value& arguments)
{
    auto wait = Milliseconds(arguments["waitMs"].asInt64());
    this->watches.push_back({ request, toStrings(arguments["prefixes"]), arguments["afterRevision"].asUInt64(),
        Deadline::after(BootClock::now(), wait) });
    this->answerWatches();
}

void StoreService::answerWatches()
{
    auto now = BootClock::now();
    auto waiting = std::move(this->watches);
    this->watches.clear();
    for (auto& watch : waiting) {
        auto result = this->state.changes(watch.prefixes, watch.afterRevision, now);
        if (result.entries.empty() && !watch.deadline.hasPassed(now)) {
            this->watches.push_back(std::move(watch));
            continue;
        }
        Json::Value answer;
        answer["storeRevision"] = Json::UInt64(result.storeRevision);
        answer["entries"] = toJson(result.entries);
        this->reply(watch.request, answer);
    }
}

void StoreService::reply(evhttp_request* request, const Json::Value& answer)
{
    if (this->faults.delay == Milliseconds::zero()) {
        this->deliver(request, answer);
        return;
    }
    this->loop.callLater(this->faults.delay, [this, request, answer] { this->deliver(request, answer); });
}

void StoreService::deliver(evhttp_request* request, const Json::Value& answer)
{
    bool blocked = this->faults.outage != StoreOutage::None || this->faults.blocks(HttpReplies::peerAddress(request));
    if (blocked)
        this->unansweredRequests.insert(request);
    else
        HttpReplies::json(request, answer);
}

void StoreService::handleControl(evhttp_request* request)
{
    if (HttpReplies::path(request) == "/control/calls") {
        HttpReplies::json(request, this->describeCalls());
        return;
    }
    HttpReplies::applySettings(request, [this](const Json::Value& settings) { this->applyControl(settings); });
}

void StoreService::applyControl(const Json::Value& settings)
{
    if (settings.isMember("outage")) {
        auto outage = enumFromName<StoreOutage>(settings["outage"].asString());
        if (!outage)
            throw Json::RuntimeError("outage must be none, silent or refuse");
        this->faults.outage = *outage;
        if (*outage == StoreOutage::Refuse)
            this->calls.stopListening();
        else
            this->calls.listen();
    }
    if (settings.isMember("delayMs"))
        this->faults.delay = Milliseconds(settings["delayMs"].asInt64());
    if (settings.isMember("loseWriteAnswers"))
        this->faults.writeAnswersToLose = settings["loseWriteAnswers"].asInt();
    if (settings.isMember("cut"))
        this->faults.blockedPrefixes = toStrings(settings["cut"]);
    if (settings.isMember("rebootMs"))
        this->rebootTime = Milliseconds(settings["rebootMs"].asInt64());
    if (settings.isMember("vmsLagMs"))
        this->vmsLag = Milliseconds(settings["vmsLagMs"].asInt64());
    if (settings.isMember("vms"))
        this->setVms(settings["vms"]);
    this->closeUnanswered();
}

Json::Value StoreService::reboot(const std::string& vm, std::uint64_t operation)
{
    auto now = BootClock::now();
    if (this->reboots.accept(vm, operation, Deadline::after(now, this->rebootTime)))
        this->history.append(LogLine("vm_leaving").add("vm", vm).add("at", HistoryFile::now()));
    const auto& newest = this->reboots.newest(vm);
    Json::Value answer;
    answer["operation"] = Json::UInt64(newest.operation);
    answer["done"] = newest.doneAt.hasPassed(now);
    return answer;
}

void StoreService::setVms(const Json::Value& list)
{
    for (const auto& vm : list) {
        auto& known = this->vmStates[vm["id"].asString()];
        auto state = vm["state"].asString();
        if (known != state)
            this->history.append(LogLine("vm_" + state).add("vm", vm["id"].asString()).add("at", HistoryFile::now()));
        known = state;
    }
    this->vms.set(list, this->vmsLag, BootClock::now());
}

void StoreService::closeUnanswered()
{
    if (this->faults.outage == StoreOutage::Unresponsive)
        return;
    std::set<evhttp_request*> stillUnanswered;
    for (auto* request : this->unansweredRequests) {
        if (this->faults.blocks(HttpReplies::peerAddress(request)))
            stillUnanswered.insert(request);
        else
            HttpReplies::closeWithoutAnswer(this->loop, request);
    }
    this->unansweredRequests = std::move(stillUnanswered);
}

Json::Value StoreService::describeCalls() const
{
    Json::Value json;
    json["calls"] = Json::objectValue;
    for (const auto& [kind, count] : this->callCounts)
        json["calls"][kind] = Json::UInt64(count);
    json["openWatches"] = Json::UInt64(this->watches.size());
    json["unchangedVmLists"] = Json::UInt64(this->unchangedVmLists);
    json["storeRevision"] = Json::UInt64(this->state.revision());
    return json;
}

} // namespace Greengage
