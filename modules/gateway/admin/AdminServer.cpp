#include <gateway/admin/AdminServer.h>

#include <loop/http/HttpBuffers.h>

#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/http.h>
#include <string_view>

namespace Greengage {

namespace {

constexpr int statusUnauthorized = 401;
constexpr int statusUnavailable = 503;
constexpr std::string_view bearerPrefix = "Bearer ";

std::string bearerKeyOf(const evhttp_request& request)
{
    std::string text
        = headerValue(*evhttp_request_get_input_headers(const_cast<evhttp_request*>(&request)), "Authorization");
    return text.starts_with(bearerPrefix) ? text.substr(bearerPrefix.size()) : std::string();
}

ConnectionLimits adminLimits()
{
    constexpr Milliseconds requestTimeout { 30'000 };
    ConnectionLimits limits;
    limits.maxConnections = 16;
    limits.maxHeldBytes = std::size_t(16) * 1024 * 1024;
    limits.maxHeaderBytes = std::size_t(8) * 1024;
    limits.maxBodyBytes = std::size_t(2) * 1024 * 1024;
    limits.headerTimeout = requestTimeout;
    limits.bodyTimeout = requestTimeout;
    limits.writeTimeout = requestTimeout;
    limits.idleTimeout = requestTimeout;
    return limits;
}

} // namespace

AdminServer::AdminServer(event_base& base, Handlers handlers)
    : base(base)
    , handlers(std::move(handlers))
    , guard(base, "admin", adminLimits(),
          { [this](evhttp_connection* freed) { this->openRequests.removeRequestsOf(freed); },
              [this](CloseReason reason) { this->handlers.onClosing(reason); } })
    , sharedSelf(std::make_shared<AdminServer*>(this))
{
}

AdminServer::~AdminServer()
{
    *this->sharedSelf = nullptr;
    this->guard.detach();
}

Result<void, GatewayError> AdminServer::listen(const std::string& address, std::uint16_t port)
{
    this->server.reset(evhttp_new(&this->base));
    evhttp_set_allowed_methods(this->server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_gencb(
        this->server.get(),
        [](evhttp_request* request, void* server) { static_cast<AdminServer*>(server)->handleRequest(*request); },
        this);
    evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(this->server.get(), address.c_str(), port);
    if (!socket)
        return GatewayError { "cannot listen on " + address + ":" + std::to_string(port) + ": "
            + std::strerror(errno) };
    this->guard.attach(*this->server, *socket);
    return success();
}

void AdminServer::handleRequest(evhttp_request& request)
{
    evhttp_connection* connection = evhttp_request_get_connection(&request);
    if (!this->guard.requestArrived(connection)) {
        this->send(request,
            { statusUnavailable, "application/json",
                "{\"error\":\"the daemon holds too many unanswered requests\"}\n" });
        return;
    }
    if (!this->handlers.isAuthorized(bearerKeyOf(request))) {
        this->send(request,
            { statusUnauthorized, "application/json", "{\"error\":\"the operators' key is missing or wrong\"}\n" });
        return;
    }
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(&request);
    const char* path = uri ? evhttp_uri_get_path(uri) : nullptr;
    AdminRequest parsed { evhttp_request_get_command(&request) == EVHTTP_REQ_POST, path ? path : "",
        takeBytes(*evhttp_request_get_input_buffer(&request)) };
    std::uint64_t id = this->openRequests.add(request);
    this->handlers.handle(parsed, [server = this->sharedSelf, id](const AdminResponse& response) {
        if (*server)
            (*server)->respond(id, response);
    });
}

void AdminServer::respond(std::uint64_t id, const AdminResponse& response)
{
    if (evhttp_request* request = this->openRequests.take(id))
        this->send(*request, response);
}

void AdminServer::send(evhttp_request& request, const AdminResponse& response)
{
    evkeyvalq* headers = evhttp_request_get_output_headers(&request);
    evhttp_add_header(headers, "Content-Type", response.contentType.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(&request), response.body.data(), response.body.size());
    this->guard.answering(evhttp_request_get_connection(&request));
    evhttp_send_reply(&request, response.status, nullptr, nullptr);
}

} // namespace Greengage
