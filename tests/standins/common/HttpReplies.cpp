#include <standins/common/HttpReplies.h>

#include <standins/common/JsonText.h>
#include <standins/common/Loop.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <json/json.h>
#include <sys/socket.h>

namespace Greengage::HttpReplies {

std::string body(evhttp_request* request)
{
    auto* buffer = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

std::string path(evhttp_request* request)
{
    const char* text = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    return text ? text : "";
}

std::string peerAddress(evhttp_request* request)
{
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &address, &port);
    return address ? address : "";
}

std::string header(evhttp_request* request, const char* name)
{
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value ? value : "";
}

void json(evhttp_request* request, const Json::Value& value)
{
    auto* fields = evhttp_request_get_output_headers(request);
    evhttp_add_header(fields, "Content-Type", "application/json");
    text(request, HTTP_OK, toJsonText(value));
}

void text(evhttp_request* request, int status, const std::string& body)
{
    auto* buffer = evhttp_request_get_output_buffer(request);
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request, status, status == HTTP_OK ? "OK" : "Refused", nullptr);
}

void applySettings(evhttp_request* request, const std::function<void(const Json::Value&)>& apply)
{
    auto settings = parseJsonObject(body(request));
    try {
        if (!settings)
            throw Json::RuntimeError("body is not a JSON object");
        apply(*settings);
        json(request, Json::objectValue);
    } catch (const Json::Exception& error) {
        text(request, HTTP_BADREQUEST, error.what());
    }
}

void closeWithoutAnswer(Loop& loop, evhttp_request* request)
{
    auto* connection = evhttp_request_get_connection(request);
    loop.callLater(Microseconds::zero(), [connection] { evhttp_connection_free(connection); });
}

void truncated(
    Loop& loop, evhttp_request* request, const std::string& requestId, const std::string& body, std::size_t sentBytes)
{
    auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nGreengage-Request: " + requestId + "\r\n\r\n";
    auto bytes = head + body.substr(0, sentBytes);
    auto* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    send(bufferevent_getfd(stream), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    closeWithoutAnswer(loop, request);
}

} // namespace Greengage::HttpReplies
