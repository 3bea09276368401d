#include <store/http/HttpConnection.h>

#include <core/checks/Assertion.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <sys/socket.h>

namespace Greengage {

namespace {

constexpr ev_ssize_t maxHeaderBytes = 64 * 1024;
constexpr ev_ssize_t maxBodyBytes = 16 * 1024 * 1024;

} // namespace

HttpConnection::HttpConnection(
    event_base& base, const std::string& sourceAddress, std::string address, std::uint16_t port)
    : address(std::move(address))
    , port(port)
    , connection(evhttp_connection_base_new(&base, nullptr, this->address.c_str(), port))
{
    assertInvariant(this->connection, "evhttp_connection_base_new returns an object");
    evhttp_connection_set_local_address(this->connection, sourceAddress.c_str());
    evhttp_connection_set_max_headers_size(this->connection, maxHeaderBytes);
    evhttp_connection_set_max_body_size(this->connection, maxBodyBytes);
    auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(this->connection));
    this->outputObserver = evbuffer_add_cb(output, onOutputChanged, this);
    auto* input = bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection));
    this->inputObserver = evbuffer_add_cb(input, onInputChanged, this);
}

HttpConnection::~HttpConnection()
{
    auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(this->connection));
    evbuffer_remove_cb_entry(output, this->outputObserver);
    auto* input = bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection));
    evbuffer_remove_cb_entry(input, this->inputObserver);
    evhttp_connection_free(this->connection);
}

void HttpConnection::resetOnClose()
{
    int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(this->connection));
    linger immediately { 1, 0 };
    if (socket >= 0 && setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately) != 0)
        writeLog(LogLevel::Warning, LogLine("connection_not_reset").add("address", this->address));
}

void HttpConnection::onOutputChanged(evbuffer*, const evbuffer_cb_info* info, void* context)
{
    if (info->n_deleted > 0)
        static_cast<HttpConnection*>(context)->hasWrittenBytes = true;
}

void HttpConnection::onInputChanged(evbuffer*, const evbuffer_cb_info* info, void* context)
{
    auto& connection = *static_cast<HttpConnection*>(context);
    if (info->n_added > 0 && connection.onBytesArrived)
        connection.onBytesArrived();
}

} // namespace Greengage
