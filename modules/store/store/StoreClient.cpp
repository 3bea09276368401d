#include <store/store/StoreClient.h>

#include <store/http/HttpClient.h>
#include <store/store/StoreAnswers.h>
#include <store/store/StoreCallCount.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreWrite.h>
#include <store/store/WatchResult.h>
#include <store/vms/RebootStatus.h>
#include <store/vms/VmRecord.h>

#include <json/json.h>
#include <map>

namespace Greengage {

namespace {

constexpr Milliseconds callTimeout { 2000 };
constexpr std::string_view callPrefix = "/v1/";
constexpr std::string_view vmPrefix = "/v1/vms/";
/// Key under which calls with a VM in their path are counted.
constexpr const char* rebootCountPath = "/v1/reboot";
constexpr int notModified = 304;

std::string toText(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

StoreError toStoreError(const HttpFailure& failure)
{
    auto code = failure.mayHaveBeenSent ? StoreErrorCode::AnswerLost : StoreErrorCode::NotSent;
    return { code, 0, failure.detail };
}

} // namespace

class StoreClient::Implementation {
public:
    using Vms = std::shared_ptr<const std::vector<VmRecord>>;
    using VmsCallback = Callback<Vms>;

    Implementation(event_base& base, std::string address, std::uint16_t port, std::string sourceAddress)
        : address(std::move(address))
        , port(port)
        , client(base, std::move(sourceAddress))
    {
    }

    HttpRequest makeCall(std::string path, std::string body, Milliseconds timeout = callTimeout)
    {
        this->callCountByPath[path.starts_with(vmPrefix) ? rebootCountPath : path] += 1;
        HttpRequest call;
        call.address = this->address;
        call.port = this->port;
        call.path = std::move(path);
        call.body = std::move(body);
        call.timeout = timeout;
        return call;
    }

    /// Sends a call and passes its answer, converted by `convert`, to the callback.
    template <typename Value, typename Convert>
    void send(const HttpRequest& call, Convert convert, Callback<Value> callback)
    {
        this->client.send(call, [convert, callback = std::move(callback)](Result<HttpResponse, HttpFailure> outcome) {
            if (!outcome) {
                callback(toStoreError(outcome.error()));
                return;
            }
            auto json = StoreAnswers::parse(outcome.value());
            if (!json)
                callback(json.error());
            else
                callback(convert(json.value()));
        });
    }

    template <typename Value, typename Convert>
    void post(std::string path, const Json::Value& json, Convert convert, Callback<Value> callback)
    {
        this->send<Value>(this->makeCall(std::move(path), toText(json)), convert, std::move(callback));
    }

    void readVms(VmsCallback callback)
    {
        auto call = this->makeCall("/v1/vms", "");
        if (this->listedVms)
            call.headers.push_back({ "If-None-Match", this->listEntityTag });
        this->client.send(call, [this, callback = std::move(callback)](Result<HttpResponse, HttpFailure> outcome) {
            if (outcome)
                callback(this->handleVmsAnswer(outcome.value()));
            else
                callback(toStoreError(outcome.error()));
        });
    }

    std::map<std::string, std::uint64_t> callCountByPath;

private:
    Result<Vms, StoreError> handleVmsAnswer(const HttpResponse& answer)
    {
        if (answer.status == notModified && this->listedVms)
            return this->listedVms;
        BOOST_OUTCOME_TRY(json, StoreAnswers::parse(answer));
        BOOST_OUTCOME_TRY(vms, StoreAnswers::toVms(json));
        auto listed = std::make_shared<const std::vector<VmRecord>>(std::move(vms));
        this->listEntityTag = answer.header("ETag");
        this->listedVms = this->listEntityTag.empty() ? nullptr : listed;
        return listed;
    }

    std::string address;
    std::uint16_t port;
    /// The last VM list received and its entity tag; null and empty if the response had no tag.
    Vms listedVms;
    std::string listEntityTag;
    HttpClient client;
};

StoreClient::StoreClient(event_base& base, std::string storeAddress, std::uint16_t storePort, std::string sourceAddress)
    : implementation(
        std::make_unique<Implementation>(base, std::move(storeAddress), storePort, std::move(sourceAddress)))
{
}

StoreClient::~StoreClient() = default;

void StoreClient::read(const std::string& key, Callback<StoreEntry> callback)
{
    Json::Value json;
    json["key"] = key;
    auto convert = [key](const Json::Value& answer) { return StoreAnswers::toEntry(answer, key); };
    this->implementation->post<StoreEntry>("/v1/read", json, convert, std::move(callback));
}

void StoreClient::write(const StoreWrite& write, Callback<std::uint64_t> callback)
{
    Json::Value json;
    json["key"] = write.key;
    json["value"] = write.value;
    json["expectedVersion"] = Json::UInt64(write.expectedVersion);
    if (!write.leaseId.empty())
        json["leaseId"] = write.leaseId;
    this->implementation->post<std::uint64_t>("/v1/write", json, StoreAnswers::toVersion, std::move(callback));
}

void StoreClient::erase(const std::string& key, std::uint64_t expectedVersion, Callback<bool> callback)
{
    Json::Value json;
    json["key"] = key;
    json["expectedVersion"] = Json::UInt64(expectedVersion);
    auto convert = [](const Json::Value& answer) -> Result<bool, StoreError> {
        BOOST_OUTCOME_TRY(StoreAnswers::toVersion(answer));
        return true;
    };
    this->implementation->post<bool>("/v1/erase", json, convert, std::move(callback));
}

void StoreClient::list(const std::string& prefix, Callback<std::vector<StoreEntry>> callback)
{
    Json::Value json;
    json["prefix"] = prefix;
    this->implementation->post<std::vector<StoreEntry>>("/v1/list", json, StoreAnswers::toEntries, std::move(callback));
}

void StoreClient::watch(const std::vector<std::string>& prefixes, std::uint64_t afterRevision, Milliseconds wait,
    Callback<WatchResult> callback)
{
    Json::Value json;
    json["prefixes"] = Json::arrayValue;
    for (const auto& prefix : prefixes)
        json["prefixes"].append(prefix);
    json["afterRevision"] = Json::UInt64(afterRevision);
    json["waitMs"] = Json::Int64(wait.count());
    auto call = this->implementation->makeCall("/v1/watch", toText(json), wait + callTimeout);
    this->implementation->send<WatchResult>(call, StoreAnswers::toWatchResult, std::move(callback));
}

void StoreClient::grantLease(Milliseconds timeToLive, Callback<std::string> callback)
{
    Json::Value json;
    json["ttlMs"] = Json::Int64(timeToLive.count());
    this->implementation->post<std::string>("/v1/lease/grant", json, StoreAnswers::toLeaseId, std::move(callback));
}

void StoreClient::renewLease(const std::string& leaseId, Callback<bool> callback)
{
    Json::Value json;
    json["leaseId"] = leaseId;
    this->implementation->post<bool>("/v1/lease/renew", json, StoreAnswers::toRenewed, std::move(callback));
}

void StoreClient::readVms(Callback<std::shared_ptr<const std::vector<VmRecord>>> callback)
{
    this->implementation->readVms(std::move(callback));
}

void StoreClient::rebootVm(const std::string& vm, std::uint64_t operation, Callback<RebootStatus> callback)
{
    Json::Value json;
    json["operation"] = Json::UInt64(operation);
    this->implementation->post<RebootStatus>(
        std::string(vmPrefix) + vm + "/reboot", json, StoreAnswers::toRebootStatus, std::move(callback));
}

std::vector<StoreCallCount> StoreClient::callCounts() const
{
    std::vector<StoreCallCount> counts;
    for (const auto& [path, count] : this->implementation->callCountByPath)
        counts.push_back({ path.substr(callPrefix.size()), count });
    return counts;
}

} // namespace Greengage
