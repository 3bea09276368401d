#pragma once

#include <core/log/LogRateLimiter.h>
#include <loop/guard/ConnectionGuard.h>
#include <loop/timers/Timer.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

struct bufferevent;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;

namespace Greengage {

/// Keeps the connections of an evhttp server within limits: follows each connection's phase and the bytes that it
/// holds, reads no more than the phase needs, and closes the connections that the guard names. It must be destroyed
/// after the server.
class HttpConnectionGuard {
public:
    struct Handlers {
        /// The connection is about to be freed, for whatever reason.
        std::function<void(evhttp_connection*)> onConnectionFreed;
        /// The guard closes a connection.
        std::function<void(CloseReason)> onClosing;
    };

    /// `listener` names the server in log lines.
    HttpConnectionGuard(event_base&, std::string listener, const ConnectionLimits&, Handlers);
    ~HttpConnectionGuard();

    HttpConnectionGuard(const HttpConnectionGuard&) = delete;
    HttpConnectionGuard& operator=(const HttpConnectionGuard&) = delete;

    /// Monitors the connections that `server` accepts on `socket`. Call it once, before the event loop runs.
    void attach(evhttp& server, evhttp_bound_socket& socket);
    /// Stops using the socket. Call it before the server closes the socket or is destroyed.
    void detach() { this->socket = nullptr; }

    /// Applies to the connections that are open, too.
    void setLimits(const ConnectionLimits&);
    const ConnectionLimits& currentLimits() const { return this->guard.currentLimits(); }

    /// A complete request has arrived. Returns false if it must be refused, since there is no memory to handle it.
    bool requestArrived(evhttp_connection*);
    /// The answer to the request is about to be sent.
    void answering(evhttp_connection*);

    std::size_t connectionCount() const { return this->guard.connectionCount(); }
    std::size_t heldBytes() const { return this->guard.heldBytes(); }

private:
    class Connection;

    static bufferevent* createTransport(event_base*, void* guard);
    void adoptConnections();
    void handleFreed(evhttp_connection*);
    void applyLimits(evhttp_connection*) const;
    /// `current` is the connection whose callback is running, if any; it is closed when the callback has returned.
    void closeExcess(const bufferevent* current = nullptr);
    void closeOverdue();
    void close(const ConnectionClosing<bufferevent*>&, const bufferevent* current = nullptr);
    void sweepBy(Deadline);
    void updateAccepting();

    std::string listener;
    ConnectionGuard<bufferevent*> guard;
    Handlers handlers;
    LogRateLimiter log;
    evhttp* server = nullptr;
    evhttp_bound_socket* socket = nullptr;
    std::unordered_map<bufferevent*, std::unique_ptr<Connection>> connections;
    /// Connections that evhttp has not initialized yet. This object holds a reference to each.
    std::vector<bufferevent*> newConnections;
    Timer adoptionTimer;
    Timer sweepTimer;
    Deadline nextSweep = Deadline::never();
};

} // namespace Greengage
