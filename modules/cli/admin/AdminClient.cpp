#include <cli/admin/AdminClient.h>

#include <config/admin/StatusCodec.h>
#include <config/document/DocumentCodec.h>

#include <event2/event.h>
#include <optional>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr int okStatus = 200;
constexpr int unauthorisedStatus = 401;
constexpr int unavailableStatus = 503;
constexpr const char* anySourceAddress = "0.0.0.0";

std::string formatAddress(const SocketAddress& daemon) { return fmt::format("{}:{}", daemon.address, daemon.port); }

AdminError refusedError(const SocketAddress& daemon, const HttpResponse& answer)
{
    auto code = answer.status == unauthorisedStatus ? AdminErrorCode::NotAuthorised : AdminErrorCode::Refused;
    return { code, fmt::format("{} answered with status {}", formatAddress(daemon), answer.status), answer.status,
        answer.body };
}

AdminError malformedError(const std::string& detail) { return { AdminErrorCode::Malformed, detail, 0, {} }; }

} // namespace

AdminClient::AdminClient(event_base& base, std::vector<SocketAddress> daemons, std::string key)
    : base(base)
    , http(base, anySourceAddress)
    , daemonAddresses(std::move(daemons))
    , key(std::move(key))
{
}

Result<HttpResponse, AdminError> AdminClient::sendRequest(
    const SocketAddress& daemon, const std::string& path, const std::string* body, Milliseconds timeout)
{
    HttpRequest call;
    call.address = daemon.address;
    call.port = daemon.port;
    call.path = path;
    call.timeout = timeout;
    call.headers.push_back({ "Authorization", "Bearer " + this->key });
    call.isPost = body != nullptr;
    if (body != nullptr)
        call.body = *body;
    std::optional<Result<HttpResponse, HttpFailure>> outcome;
    this->http.send(std::move(call), [&](Result<HttpResponse, HttpFailure> result) { outcome = std::move(result); });
    while (!outcome)
        event_base_loop(&this->base, EVLOOP_ONCE);
    if (outcome->has_error()) {
        const auto& failure = outcome->error();
        auto code = failure.mayHaveBeenSent ? AdminErrorCode::AnswerLost : AdminErrorCode::Unreachable;
        return AdminError { code, fmt::format("{}: {}", formatAddress(daemon), failure.detail), 0, {} };
    }
    if (outcome->value().status != okStatus)
        return refusedError(daemon, outcome->value());
    return std::move(outcome->value());
}

Result<HttpResponse, AdminError> AdminClient::get(const std::string& path)
{
    AdminError lastError;
    for (std::size_t attempt = 0; attempt < this->daemonAddresses.size(); ++attempt) {
        auto answer = this->sendRequest(this->daemonAddresses[this->currentDaemon], path, nullptr);
        auto isUnavailable = answer.has_error() && answer.error().status == unavailableStatus;
        if (answer.has_value() || answer.error().code == AdminErrorCode::NotAuthorised
            || (answer.error().code == AdminErrorCode::Refused && !isUnavailable))
            return answer;
        lastError = answer.error();
        this->currentDaemon = (this->currentDaemon + 1) % this->daemonAddresses.size();
    }
    return lastError;
}

Result<HttpResponse, AdminError> AdminClient::getFrom(const SocketAddress& daemon, const std::string& path)
{
    return this->sendRequest(daemon, path, nullptr);
}

Result<HttpResponse, AdminError> AdminClient::post(const std::string& path, const std::string& body)
{
    AdminError lastError;
    for (std::size_t attempt = 0; attempt < this->daemonAddresses.size(); ++attempt) {
        auto answer = this->sendRequest(this->daemonAddresses[this->currentDaemon], path, &body);
        if (answer.has_value() || answer.error().code != AdminErrorCode::Unreachable)
            return answer;
        lastError = answer.error();
        this->currentDaemon = (this->currentDaemon + 1) % this->daemonAddresses.size();
    }
    return lastError;
}

Result<HttpResponse, AdminError> AdminClient::postToCurrent(const std::string& path, const std::string& body)
{
    auto answer
        = this->sendRequest(this->daemonAddresses[this->currentDaemon], path, &body, AdminClient::submissionTimeout);
    if (answer.has_error())
        this->currentDaemon = (this->currentDaemon + 1) % this->daemonAddresses.size();
    return answer;
}

Result<DocumentRecord, AdminError> AdminClient::readDocument()
{
    BOOST_OUTCOME_TRY(answer, this->get("/v1/document"));
    auto record = DocumentCodec::decode(answer.body);
    if (record.has_error())
        return malformedError("invalid document record: " + record.error().message);
    return std::move(record.value());
}

Result<StatusReport, AdminError> AdminClient::readStatus()
{
    BOOST_OUTCOME_TRY(answer, this->get("/v1/status"));
    auto status = StatusCodec::decode(answer.body);
    if (status.has_error())
        return malformedError("invalid status report: " + status.error().message);
    return std::move(status.value());
}

Result<std::string, AdminError> AdminClient::readHistory(const std::string& changeId)
{
    BOOST_OUTCOME_TRY(answer, this->get("/v1/history/" + changeId));
    return std::move(answer.body);
}

void AdminClient::waitFor(Milliseconds duration)
{
    auto seconds = std::chrono::duration_cast<Seconds>(duration);
    auto microseconds = std::chrono::duration_cast<Microseconds>(duration - seconds);
    timeval timeout { static_cast<time_t>(seconds.count()), static_cast<suseconds_t>(microseconds.count()) };
    event_base_loopexit(&this->base, &timeout);
    event_base_loop(&this->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

} // namespace Greengage
