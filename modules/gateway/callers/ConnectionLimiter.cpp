#include <gateway/callers/ConnectionLimiter.h>

#include <core/checks/Assertion.h>

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>

namespace Greengage {

namespace {

constexpr Milliseconds sweepInterval { 100 };
/// evhttp's own timeout would also close connections that wait for their answer, so it is set too high to take effect
/// before the deadlines of ConnectionLimiter.
constexpr int serverTimeoutSeconds = 24 * 3600;

/// evhttp clears its callbacks on a bufferevent when it frees the connection.
bool isFreed(bufferevent* transport)
{
    bufferevent_event_cb eventCallback = nullptr;
    bufferevent_getcb(transport, nullptr, nullptr, &eventCallback, nullptr);
    return !eventCallback;
}

} // namespace

ConnectionLimiter::ConnectionLimiter(event_base& base, int maxConnections, Milliseconds requestTimeout)
    : maxConnections(maxConnections)
    , requestTimeout(requestTimeout)
    , sweepTimer(base, [this] {
        this->removeFreed();
        this->closeTimedOut();
        this->sweepTimer.schedule(sweepInterval);
    })
{
    this->sweepTimer.schedule(sweepInterval);
}

ConnectionLimiter::~ConnectionLimiter()
{
    for (const auto& [transport, deadline] : this->requestDeadlines) {
        assertInvariant(isFreed(transport), "the HTTP server is destroyed before its connection limiter");
        bufferevent_decref(transport);
    }
}

void ConnectionLimiter::attach(evhttp& server, evhttp_bound_socket& boundSocket)
{
    this->socket = &boundSocket;
    evhttp_set_timeout(&server, serverTimeoutSeconds);
    evhttp_set_bevcb(&server, &ConnectionLimiter::createTransport, this);
}

/// evhttp does not report that it has freed a connection, so this object holds a reference to each bufferevent and
/// checks it periodically.
bufferevent* ConnectionLimiter::createTransport(event_base* base, void* limiter)
{
    auto* self = static_cast<ConnectionLimiter*>(limiter);
    bufferevent* transport = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    assertInvariant(transport, "bufferevent_socket_new returns an object");
    bufferevent_incref(transport);
    self->requestDeadlines[transport] = Deadline::after(BootClock::now(), self->requestTimeout);
    self->updateAccepting();
    return transport;
}

void ConnectionLimiter::removeFreed()
{
    std::erase_if(this->requestDeadlines, [](const auto& entry) {
        if (!isFreed(entry.first))
            return false;
        bufferevent_decref(entry.first);
        return true;
    });
    this->updateAccepting();
}

void ConnectionLimiter::updateAccepting()
{
    if (!this->socket)
        return;
    evconnlistener* listener = evhttp_bound_socket_get_listener(this->socket);
    if (this->connectionCount() >= this->maxConnections)
        evconnlistener_disable(listener);
    else
        evconnlistener_enable(listener);
}

void ConnectionLimiter::onRequestArrived(evhttp_connection* connection)
{
    this->requestDeadlines[evhttp_connection_get_bufferevent(connection)] = Deadline::never();
}

void ConnectionLimiter::onRequestAnswered(evhttp_connection* connection)
{
    this->requestDeadlines[evhttp_connection_get_bufferevent(connection)]
        = Deadline::after(BootClock::now(), this->requestTimeout);
}

void ConnectionLimiter::closeTimedOut()
{
    Instant now = BootClock::now();
    for (auto& [transport, deadline] : this->requestDeadlines) {
        if (deadline.hasPassed(now))
            ::shutdown(bufferevent_getfd(transport), SHUT_RDWR);
    }
}

} // namespace Greengage
