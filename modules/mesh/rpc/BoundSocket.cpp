#include <mesh/rpc/BoundSocket.h>

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace Greengage {

EventPointer<bufferevent> makeBoundTransport(event_base& base, const std::string& sourceAddress)
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    if (inet_pton(AF_INET, sourceAddress.c_str(), &local.sin_addr) != 1)
        return nullptr;
    evutil_socket_t socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return nullptr;
    int enabled = 1;
    setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled));
    EventPointer<bufferevent> transport(bufferevent_socket_new(&base, socket, BEV_OPT_CLOSE_ON_FREE));
    if (bind(socket, reinterpret_cast<sockaddr*>(&local), sizeof(local)) != 0)
        return nullptr;
    return transport;
}

} // namespace Greengage
