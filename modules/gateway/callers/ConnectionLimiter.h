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

/// Limits how many connections an HTTP server has open, and how long a client may take to receive the last response and
/// send its next complete request. It must be destroyed after the server.
class ConnectionLimiter {
public:
    ConnectionLimiter(event_base&, int maxConnections, Milliseconds requestTimeout);
    ~ConnectionLimiter();

    ConnectionLimiter(const ConnectionLimiter&) = delete;
    ConnectionLimiter& operator=(const ConnectionLimiter&) = delete;

    /// Monitors the connections that `server` accepts on `socket`. Call it once, before the event loop runs.
    void attach(evhttp& server, evhttp_bound_socket& socket);

    /// A complete request has arrived; the connection has no deadline until it is answered.
    void onRequestArrived(evhttp_connection*);

    /// The request has been answered; the client must receive the response and send its next request within the
    /// timeout.
    void onRequestAnswered(evhttp_connection*);

    /// Stops using the socket. Call it before the server closes the socket.
    void detach() { this->socket = nullptr; }

    int connectionCount() const { return static_cast<int>(this->requestDeadlines.size()); }

private:
    static bufferevent* createTransport(event_base*, void* limiter);
    void updateAccepting();
    void removeFreed();
    void closeTimedOut();

    int maxConnections;
    Milliseconds requestTimeout;
    evhttp_bound_socket* socket = nullptr;
    /// When each connection must have sent its next complete request. This object holds one reference to each
    /// connection's bufferevent.
    std::unordered_map<bufferevent*, Deadline> requestDeadlines;
    Timer sweepTimer;
};

} // namespace Greengage
