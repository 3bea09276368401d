#include <mesh/rpc/LineConnector.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <json/value.h>
#include <netinet/in.h>

namespace Greengage {

namespace {

constexpr std::size_t maxRequestLineBytes = 64 * 1024;
constexpr std::size_t maxBufferedResponseBytes = 4 * 1024 * 1024;
constexpr std::size_t maxConnections = 256;
constexpr timeval idleTimeout { 30, 0 };

} // namespace

LineConnector::LineConnector(event_base& base, std::string address, std::uint16_t port)
    : base(base)
    , address(std::move(address))
    , port(port)
{
}

LineConnector::~LineConnector() = default;

bool LineConnector::StartListening()
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(this->port);
    if (inet_pton(AF_INET, this->address.c_str(), &local.sin_addr) != 1)
        return false;
    auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<LineConnector*>(self)->accept(socket);
    };
    this->listener.reset(evconnlistener_new_bind(&this->base, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        -1, reinterpret_cast<sockaddr*>(&local), sizeof(local)));
    return this->listener != nullptr;
}

bool LineConnector::StopListening()
{
    this->listener.reset();
    this->connections.clear();
    return true;
}

void LineConnector::accept(int socket)
{
    EventPointer<bufferevent> connection(bufferevent_socket_new(&this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    if (this->connections.size() >= maxConnections)
        return;
    bufferevent* handle = connection.get();
    bufferevent_setcb(
        handle, [](bufferevent* from, void* self) { static_cast<LineConnector*>(self)->read(from); }, nullptr,
        [](bufferevent* from, short, void* self) { static_cast<LineConnector*>(self)->disconnect(from); }, this);
    bufferevent_set_timeouts(handle, &idleTimeout, &idleTimeout);
    bufferevent_setwatermark(handle, EV_READ, 0, maxRequestLineBytes);
    bufferevent_enable(handle, EV_READ | EV_WRITE);
    this->connections.emplace(handle, std::move(connection));
}

void LineConnector::read(bufferevent* from)
{
    evbuffer* input = bufferevent_get_input(from);
    std::size_t length = 0;
    while (char* text = evbuffer_readln(input, &length, EVBUFFER_EOL_LF)) {
        std::string line(text, length);
        free(text); // NOLINT(cppcoreguidelines-no-malloc): allocated by libevent
        this->received += length;
        if (!this->dispatch(line, from) || !this->connections.contains(from))
            return;
    }
    if (evbuffer_get_length(input) >= maxRequestLineBytes)
        this->disconnect(from);
}

bool LineConnector::dispatch(const std::string& line, bufferevent* from)
{
    try {
        this->OnRequest(line, from);
        return true;
    } catch (const Json::Exception&) {
        // jsoncpp throws if the nesting is too deep.
        this->disconnect(from);
        return false;
    }
}

bool LineConnector::SendResponse(const std::string& response, void* connection)
{
    auto* to = static_cast<bufferevent*>(connection);
    if (!this->connections.contains(to))
        return false;
    evbuffer* output = bufferevent_get_output(to);
    if (evbuffer_get_length(output) + response.size() > maxBufferedResponseBytes) {
        this->disconnect(to);
        return false;
    }
    // The library's writer may end its text with a newline; a line must end with exactly one.
    std::size_t length = response.find_last_not_of('\n') + 1;
    evbuffer_add(output, response.data(), length);
    evbuffer_add(output, "\n", 1);
    this->sent += length + 1;
    return true;
}

void LineConnector::disconnect(bufferevent* connection) { this->connections.erase(connection); }

} // namespace Greengage
