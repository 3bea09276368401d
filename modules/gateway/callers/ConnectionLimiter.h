#pragma once

#include <core/time/Deadline.h>
#include <loop/timers/Timer.h>

#include <unordered_map>

struct bufferevent;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;

namespace Greengage {

/// Bounds how many connections an HTTP server has open and how long each may take to bring its next whole request and
/// to take its last response. It must be destroyed after the server.
class ConnectionLimiter {
public:
    ConnectionLimiter(event_base&, int maxConnections, Milliseconds requestTimeout);
    ~ConnectionLimiter();

    ConnectionLimiter(const ConnectionLimiter&) = delete;
    ConnectionLimiter& operator=(const ConnectionLimiter&) = delete;

    /// Watches the connections that `server` accepts on `socket`. Call it once, before the loop runs.
    void attach(evhttp& server, evhttp_bound_socket& socket);

    /// A whole request has come; the connection may rest until it is answered.
    void requestArrived(evhttp_connection*);

    /// The request is answered; the response must be taken and the next request must come within the timeout.
    void requestAnswered(evhttp_connection*);

    /// Forgets the socket, which its server is about to close.
    void detach() { this->socket = nullptr; }

    int connections() const { return static_cast<int>(this->nextRequestBy.size()); }

private:
    static bufferevent* makeTransport(event_base*, void* limiter);
    void limitAccepting();
    void dropFreed();
    void closeOverdue();

    int maxConnections;
    Milliseconds requestTimeout;
    evhttp_bound_socket* socket = nullptr;
    /// Each connection's transport, of which this object holds one reference.
    std::unordered_map<bufferevent*, Deadline> nextRequestBy;
    Timer sweep;
};

} // namespace Greengage
