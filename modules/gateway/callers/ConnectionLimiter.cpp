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
/// evhttp's own timeout would also end connections that wait for their answer, so it is kept out of the way.
constexpr int serverTimeoutSeconds = 24 * 3600;

/// evhttp takes its callbacks off when it frees a connection.
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
    , sweep(base, [this] {
        this->dropFreed();
        this->closeOverdue();
        this->sweep.schedule(sweepInterval);
    })
{
    this->sweep.schedule(sweepInterval);
}

ConnectionLimiter::~ConnectionLimiter()
{
    for (const auto& [transport, deadline] : this->nextRequestBy) {
        assertInvariant(isFreed(transport), "the server is freed first");
        bufferevent_decref(transport);
    }
}

void ConnectionLimiter::attach(evhttp& server, evhttp_bound_socket& boundSocket)
{
    this->socket = &boundSocket;
    evhttp_set_timeout(&server, serverTimeoutSeconds);
    evhttp_set_bevcb(&server, &ConnectionLimiter::makeTransport, this);
}

/// evhttp does not report that it has freed a connection, so a reference to each is held and looked at from time to
/// time.
bufferevent* ConnectionLimiter::makeTransport(event_base* base, void* limiter)
{
    auto* self = static_cast<ConnectionLimiter*>(limiter);
    bufferevent* transport = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    assertInvariant(transport, "bufferevent_socket_new gives an object");
    bufferevent_incref(transport);
    self->nextRequestBy[transport] = Deadline::after(BootClock::now(), self->requestTimeout);
    self->limitAccepting();
    return transport;
}

void ConnectionLimiter::dropFreed()
{
    std::erase_if(this->nextRequestBy, [](const auto& entry) {
        if (!isFreed(entry.first))
            return false;
        bufferevent_decref(entry.first);
        return true;
    });
    this->limitAccepting();
}

void ConnectionLimiter::limitAccepting()
{
    if (!this->socket)
        return;
    evconnlistener* listener = evhttp_bound_socket_get_listener(this->socket);
    if (this->connections() >= this->maxConnections)
        evconnlistener_disable(listener);
    else
        evconnlistener_enable(listener);
}

void ConnectionLimiter::requestArrived(evhttp_connection* connection)
{
    this->nextRequestBy[evhttp_connection_get_bufferevent(connection)] = Deadline::never();
}

void ConnectionLimiter::requestAnswered(evhttp_connection* connection)
{
    this->nextRequestBy[evhttp_connection_get_bufferevent(connection)]
        = Deadline::after(BootClock::now(), this->requestTimeout);
}

void ConnectionLimiter::closeOverdue()
{
    Instant now = BootClock::now();
    for (auto& [transport, deadline] : this->nextRequestBy) {
        if (deadline.hasPassed(now))
            ::shutdown(bufferevent_getfd(transport), SHUT_RDWR);
    }
}

} // namespace Greengage
