#include <support/ScriptedServer.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>

namespace Greengage {

ScriptedServer::ScriptedServer(event_base& base, Script script)
    : script(std::move(script))
    , base(base)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->listener.reset(evconnlistener_new_bind(
        &base,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<ScriptedServer*>(self)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
}

ScriptedServer::~ScriptedServer() = default;

std::uint16_t ScriptedServer::port() const
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(this->listener.get()), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void ScriptedServer::silenceOpenConnections()
{
    for (auto& connection : this->open)
        bufferevent_disable(connection.get(), EV_READ);
}

void ScriptedServer::accept(evutil_socket_t socket)
{
    this->connections += 1;
    EventPointer<bufferevent> connection(bufferevent_socket_new(&this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        connection.get(), [](bufferevent* from, void* self) { static_cast<ScriptedServer*>(self)->read(from); },
        nullptr, nullptr, this);
    bufferevent_enable(connection.get(), EV_READ | EV_WRITE);
    this->open.push_back(std::move(connection));
}

void ScriptedServer::read(bufferevent* from)
{
    evbuffer* input = bufferevent_get_input(from);
    std::string request(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, request.data(), request.size());
    this->bytesReceived += request.size();
    Reply reply = this->script(request);
    if (reply.close) {
        // Written to the socket directly, not through the output buffer, which closing the connection would discard.
        send(bufferevent_getfd(from), reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
        std::erase_if(this->open, [from](const EventPointer<bufferevent>& other) { return other.get() == from; });
        return;
    }
    bufferevent_write(from, reply.bytes.data(), reply.bytes.size());
}

} // namespace Greengage
