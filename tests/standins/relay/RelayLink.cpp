#include <standins/relay/RelayLink.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace Greengage {

namespace {

sockaddr_in toSocketAddress(const std::string& address, std::uint16_t port)
{
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &socketAddress.sin_addr);
    return socketAddress;
}

void resetOnClose(bufferevent* side)
{
    if (!side)
        return;
    linger option { 1, 0 };
    setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

} // namespace

RelayLink::RelayLink(event_base& base, int acceptedSocket, std::string source, const RelayRoute& route,
    std::function<void(RelayLink&)> onClosed)
    : base(base)
    , sourceAddress(std::move(source))
    , route(route)
    , onClosed(std::move(onClosed))
    , accepted(bufferevent_socket_new(&base, acceptedSocket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
    bufferevent_setcb(this->accepted, handleReadable, handleWritten, handleEvent, this);
    bufferevent_enable(this->accepted, EV_WRITE);
}

RelayLink::~RelayLink()
{
    bufferevent_free(this->accepted);
    if (this->target)
        bufferevent_free(this->target);
}

void RelayLink::apply(RelayAction action)
{
    this->frozen = this->permanentlyFrozen || action == RelayAction::Freeze;
    if (!this->frozen && !this->target && !this->connect()) {
        handleEvent(this->accepted, BEV_EVENT_ERROR, this);
        return;
    }
    this->setReading(!this->frozen);
    for (auto* side : { this->accepted, this->target }) {
        if (side)
            handleReadable(side, this);
    }
}

void RelayLink::freezePermanently()
{
    this->permanentlyFrozen = true;
    this->apply(RelayAction::Freeze);
}

void RelayLink::resetBoth()
{
    resetOnClose(this->accepted);
    resetOnClose(this->target);
}

bool RelayLink::connect()
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto local = toSocketAddress(this->sourceAddress, 0);
    auto remote = toSocketAddress(this->route.targetAddress, this->route.targetPort);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0) {
        evutil_closesocket(descriptor);
        return false;
    }
    this->target = bufferevent_socket_new(&this->base, descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(this->target, handleReadable, handleWritten, handleEvent, this);
    bufferevent_enable(this->target, EV_WRITE);
    return bufferevent_socket_connect(this->target, reinterpret_cast<sockaddr*>(&remote), sizeof remote) == 0;
}

void RelayLink::setReading(bool reading)
{
    for (auto* side : { this->accepted, this->target }) {
        if (!side)
            continue;
        if (reading)
            bufferevent_enable(side, EV_READ);
        else
            bufferevent_disable(side, EV_READ);
    }
}

bufferevent* RelayLink::otherSide(bufferevent* side) const
{
    return side == this->accepted ? this->target : this->accepted;
}

void RelayLink::handleReadable(bufferevent* side, void* context)
{
    auto& link = *static_cast<RelayLink*>(context);
    if (link.frozen)
        return;
    if (auto* other = link.otherSide(side))
        evbuffer_add_buffer(bufferevent_get_output(other), bufferevent_get_input(side));
}

void RelayLink::handleWritten(bufferevent*, void* context)
{
    auto& link = *static_cast<RelayLink*>(context);
    if (link.closesAfterFlush)
        link.onClosed(link);
}

void RelayLink::handleEvent(bufferevent* side, short events, void* context)
{
    auto& link = *static_cast<RelayLink*>(context);
    if (events & BEV_EVENT_CONNECTED)
        return;
    auto* other = link.otherSide(side);
    bool flushes = (events & BEV_EVENT_EOF) && other && evbuffer_get_length(bufferevent_get_output(other)) > 0;
    if (!(events & BEV_EVENT_EOF))
        link.resetBoth();
    if (flushes)
        link.closesAfterFlush = true;
    else
        link.onClosed(link);
}

} // namespace Greengage
