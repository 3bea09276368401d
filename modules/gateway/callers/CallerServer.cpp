#include <gateway/callers/CallerServer.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/BootClock.h>
#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/messages/CallerDisconnected.h>
#include <fleet/requests/messages/RequestArrived.h>
#include <gateway/callers/OutcomeResponse.h>
#include <gateway/callers/RequestParser.h>
#include <loop/http/HttpBuffers.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <limits>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>

namespace Greengage {

namespace {

constexpr std::string_view queuesPrefix = "/v1/queues/";
constexpr std::size_t maxQueueNameBytes = 128;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr Milliseconds drainCheckInterval { 1 };

/// Makes the kernel drop segments that ask for a new connection, so that a listening socket can be drained. Callers
/// repeat them, and are refused once the socket is closed.
void dropConnectionRequests(int listener)
{
    constexpr std::uint32_t flagsOffset = 13;
    std::array<sock_filter, 4> instructions { {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, std::numeric_limits<std::uint32_t>::max()),
    } };
    sock_fprog filter { static_cast<unsigned short>(instructions.size()), instructions.data() };
    if (setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0)
        writeLog(LogLevel::Warning,
            LogLine("listener_filter_failed")
                .add("error", std::strerror(errno))
                .add("effect", "connections may break"));
}

std::string pathOf(const evhttp_request& request)
{
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(&request);
    const char* path = uri ? evhttp_uri_get_path(uri) : nullptr;
    return path ? path : "";
}

ConnectionLimits toConnectionLimits(const CallerLimits& limits)
{
    ConnectionLimits converted;
    converted.maxConnections = static_cast<std::size_t>(limits.maxConnections);
    converted.maxHeldBytes = limits.maxHeldBytes;
    converted.maxHeaderBytes = limits.maxHeaderBytes;
    converted.maxBodyBytes = limits.maxBodyBytes;
    converted.headerTimeout = limits.idleTimeout;
    converted.bodyTimeout = limits.idleTimeout;
    converted.writeTimeout = limits.idleTimeout;
    converted.idleTimeout = limits.idleTimeout;
    return converted;
}

} // namespace

CallerServer::CallerServer(event_base& base, const CallerLimits& limits, IncarnationId incarnation, Handlers handlers)
    : base(base)
    , limits(limits)
    , incarnation(std::move(incarnation))
    , handlers(std::move(handlers))
    , guard(base, "callers", toConnectionLimits(limits),
          { [this](evhttp_connection* freed) { this->handleConnectionClosed(freed); },
              [this](CloseReason reason) { this->handlers.onClosing(reason); } })
    , drainTimer(base, [this] { this->closeDrainedListener(); })
{
}

CallerServer::~CallerServer()
{
    // Callers whose connections close from now on have not left by themselves.
    this->requestOfConnection.clear();
    this->guard.detach();
    this->server.reset();
}

Result<void, GatewayError> CallerServer::listen(const std::string& address, std::uint16_t port)
{
    this->server.reset(evhttp_new(&this->base));
    evhttp_set_allowed_methods(
        this->server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
    evhttp_set_gencb(
        this->server.get(),
        [](evhttp_request* request, void* server) { static_cast<CallerServer*>(server)->handleRequest(*request); },
        this);
    this->socket = evhttp_bind_socket_with_handle(this->server.get(), address.c_str(), port);
    if (!this->socket)
        return failure(
            GatewayError { "cannot listen on " + address + ":" + std::to_string(port) + ": " + std::strerror(errno) });
    this->guard.attach(*this->server, *this->socket);
    return success();
}

void CallerServer::closeListener()
{
    if (!this->socket)
        return;
    dropConnectionRequests(evhttp_bound_socket_get_fd(this->socket));
    this->closeDrainedListener();
}

/// Closing a listening socket resets the connections that wait to be accepted, whose requests may have been sent.
void CallerServer::closeDrainedListener()
{
    pollfd listener { evhttp_bound_socket_get_fd(this->socket), POLLIN, 0 };
    if (poll(&listener, 1, 0) > 0) {
        this->drainTimer.schedule(drainCheckInterval);
        return;
    }
    this->guard.detach();
    evhttp_del_accept_socket(this->server.get(), this->socket);
    this->socket = nullptr;
}

PendingRequest* CallerServer::findPending(const RequestId& request)
{
    auto found = this->pendingRequests.find(request);
    return found == this->pendingRequests.end() ? nullptr : &found->second;
}

void CallerServer::handleRequest(evhttp_request& request)
{
    if (!this->guard.requestArrived(evhttp_request_get_connection(&request))) {
        this->refuse(request, CallerRefusal::BodiesFull, "the daemon already holds its limit of bytes");
        return;
    }
    std::string path = pathOf(request);
    evhttp_cmd_type method = evhttp_request_get_command(&request);
    bool isStatusPage = path == "/healthz" || path == "/metrics";
    bool isQueueRequest = path.compare(0, queuesPrefix.size(), queuesPrefix) == 0;
    if (!isStatusPage && !isQueueRequest)
        this->refuse(request, CallerRefusal::UnknownPath, "unknown path; use POST /v1/queues/<queue>");
    else if (method != (isStatusPage ? EVHTTP_REQ_GET : EVHTTP_REQ_POST))
        this->refuse(request, CallerRefusal::MethodNotAllowed, isStatusPage ? "use GET" : "use POST");
    else if (isQueueRequest)
        this->acceptRequest(request, path.substr(queuesPrefix.size()));
    else if (path == "/metrics")
        this->send(
            request, { statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, this->handlers.metricsPage() });
    else if (this->handlers.isHealthy())
        this->send(request, { statusOk, {}, "ok\n" });
    else
        this->send(request, { statusUnavailable, {}, "not serving\n" });
}

void CallerServer::acceptRequest(evhttp_request& request, const std::string& queue)
{
    auto parsed = parseRequestHeaders(*evhttp_request_get_input_headers(&request), BootClock::now());
    if (!parsed.has_value()) {
        this->refuse(request, CallerRefusal::Malformed, parsed.error().detail);
        return;
    }
    if (queue.empty() || queue.size() > maxQueueNameBytes) {
        this->refuse(request, CallerRefusal::Malformed, "the queue name must have 1 to 128 bytes");
        return;
    }
    evbuffer& body = *evhttp_request_get_input_buffer(&request);
    RequestArrived arrived = std::move(parsed.value());
    arrived.bodyBytes = evbuffer_get_length(&body);
    if (this->heldBodyBytes + arrived.bodyBytes > this->limits.maxHeldBodyBytes) {
        this->refuse(request, CallerRefusal::BodiesFull, "the daemon already holds its limit of request body bytes");
        return;
    }
    arrived.request = RequestId(this->incarnation.string() + "-" + std::to_string(this->nextRequestNumber++));
    arrived.queue = QueueId(queue);
    this->heldBodyBytes += arrived.bodyBytes;
    this->pendingRequests.emplace(
        arrived.request, PendingRequest { &request, arrived.queue, BootClock::now(), takeBytes(body), {} });
    evhttp_connection* connection = evhttp_request_get_connection(&request);
    this->requestOfConnection[connection] = arrived.request;
    CallerServer::watchForClose(connection);
    this->handlers.onRequestArrived(std::move(arrived));
}

/// Keeps reading while a request waits for its answer, because only a read detects that the caller has disconnected.
/// Bytes that the caller sends early stay in the buffer, as many as the guard allows.
void CallerServer::watchForClose(evhttp_connection* connection)
{
    bufferevent* transport = evhttp_connection_get_bufferevent(connection);
    bufferevent_data_cb writeCallback = nullptr;
    bufferevent_event_cb eventCallback = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(transport, nullptr, &writeCallback, &eventCallback, &argument);
    bufferevent_setcb(transport, nullptr, writeCallback, eventCallback, argument);
    bufferevent_enable(transport, EV_READ);
}

void CallerServer::handleConnectionClosed(evhttp_connection* connection)
{
    auto found = this->requestOfConnection.find(connection);
    if (found == this->requestOfConnection.end())
        return;
    RequestId request = found->second;
    evhttp_request* httpRequest = this->pendingRequests.at(request).httpRequest;
    this->removePending(request, connection);
    // When a connection breaks, evhttp detaches its unanswered request without freeing it.
    if (!evhttp_request_get_connection(httpRequest))
        evhttp_request_free(httpRequest);
    this->handlers.onCallerDisconnected({ request });
}

void CallerServer::answer(const AnswerCaller& answer)
{
    PendingRequest* pending = this->findPending(answer.request);
    if (!pending)
        return;
    evhttp_request& httpRequest = *pending->httpRequest;
    OutcomeResponse response;
    auto endpointAnswer = pending->answers.find(answer.attempt);
    if (answer.outcome == Outcome::Answered && endpointAnswer != pending->answers.end())
        response = toAnsweredResponse(answer, endpointAnswer->second);
    else
        response = toUnansweredResponse(answer);
    this->handlers.onAnswered(answer, pending->queue, BootClock::now() - pending->arrivedAt);
    evhttp_connection* connection = evhttp_request_get_connection(&httpRequest);
    this->removePending(answer.request, connection);
    this->send(httpRequest, response);
}

/// Removes a pending request. Its evhttp_request stays valid, so that the caller of this function can answer it.
void CallerServer::removePending(const RequestId& request, evhttp_connection* connection)
{
    auto found = this->pendingRequests.find(request);
    this->requestOfConnection.erase(connection);
    this->heldBodyBytes -= found->second.body.size();
    this->pendingRequests.erase(found);
}

void CallerServer::refuse(evhttp_request& request, CallerRefusal refusal, const std::string& detail)
{
    this->handlers.onRefused(refusal);
    this->send(request, toRefusalResponse(refusal, detail));
}

void CallerServer::send(evhttp_request& request, const OutcomeResponse& response)
{
    evkeyvalq* headers = evhttp_request_get_output_headers(&request);
    for (const HttpHeader& header : response.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    if (this->isClosing)
        evhttp_add_header(headers, "Connection", "close");
    evbuffer* body = evhttp_request_get_output_buffer(&request);
    evbuffer_add(body, response.body.data(), response.body.size());
    this->guard.answering(evhttp_request_get_connection(&request));
    evhttp_send_reply(&request, response.status, nullptr, nullptr);
}

} // namespace Greengage
