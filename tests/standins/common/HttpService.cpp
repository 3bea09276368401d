#include <standins/common/HttpService.h>

#include <core/checks/Assertion.h>
#include <standins/common/Loop.h>

#include <event2/http.h>

namespace Greengage {

namespace {

constexpr int idleTimeoutSeconds = 300;
constexpr ev_ssize_t maxHeaderBytes = 64 * 1024;
constexpr ev_ssize_t maxBodyBytes = 16 * 1024 * 1024;

} // namespace

HttpService::HttpService(Loop& loop, std::string address, std::uint16_t port, Handler handler)
    : address(std::move(address))
    , port(port)
    , handler(std::move(handler))
    , server(evhttp_new(&loop.base()))
{
    assertInvariant(this->server, "evhttp_new returns a server");
    evhttp_set_timeout(this->server, idleTimeoutSeconds);
    evhttp_set_max_headers_size(this->server, maxHeaderBytes);
    evhttp_set_max_body_size(this->server, maxBodyBytes);
    evhttp_set_gencb(this->server, handle, this);
}

HttpService::~HttpService() { evhttp_free(this->server); }

bool HttpService::listen()
{
    if (!this->socket)
        this->socket = evhttp_bind_socket_with_handle(this->server, this->address.c_str(), this->port);
    return this->socket;
}

void HttpService::stopListening()
{
    if (this->socket)
        evhttp_del_accept_socket(this->server, this->socket);
    this->socket = nullptr;
}

void HttpService::handle(evhttp_request* request, void* context)
{
    static_cast<HttpService*>(context)->handler(request);
}

} // namespace Greengage
