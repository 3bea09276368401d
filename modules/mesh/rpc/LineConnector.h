#pragma once

#include <core/log/LogRateLimiter.h>
#include <loop/guard/ConnectionGuard.h>
#include <loop/memory/EventDeleter.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <string>
#include <unordered_map>

namespace Greengage {

/// Transports JSON-RPC messages for libjsonrpccpp's server over TCP connections on the event loop, one message a line.
/// A peer is disconnected if it sends a line that is too long, or if its connection has to be closed to keep the
/// limits. While a peer does not read its answers, no further lines of it are taken.
class LineConnector : public jsonrpc::AbstractServerConnector {
public:
    /// `onClosing` is called for each connection that is closed to keep the limits.
    LineConnector(event_base&, std::string address, std::uint16_t port, std::function<void(CloseReason)> onClosing);
    ~LineConnector() override;

    LineConnector(const LineConnector&) = delete;
    LineConnector& operator=(const LineConnector&) = delete;

    bool StartListening() override; // NOLINT(readability-identifier-naming): overrides the library's
    bool StopListening() override; // NOLINT(readability-identifier-naming)
    bool SendResponse(const std::string& response, void* connection) override; // NOLINT(readability-identifier-naming)

    /// Whether the line that is being dispatched may have one more call. Counts the call.
    bool takeCall() { return this->callsOfLine++ < maxCallsPerLine; }

    std::uint64_t bytesReceived() const { return this->received; }
    std::uint64_t bytesSent() const { return this->sent; }

private:
    /// A batch of many calls would multiply the size of an answer. Daemons send one call a line.
    static constexpr int maxCallsPerLine = 1;

    void accept(int socket);
    void read(bufferevent*);
    /// Passes a line to the library's server; returns whether the connection stays open.
    bool dispatch(const std::string& line, bufferevent* from);
    void disconnect(bufferevent*);
    /// Begins a connection's phase unless it is in it.
    void enter(bufferevent*, ConnectionPhase);
    void closeExcess();
    void closeOverdue();
    void updateAccepting();
    void close(const ConnectionClosing<bufferevent*>&);

    event_base& base;
    std::string address;
    std::uint16_t port;
    EventPointer<evconnlistener> listener;
    std::function<void(CloseReason)> onClosing;
    ConnectionGuard<bufferevent*> guard;
    LogRateLimiter log;
    Timer sweepTimer;
    std::unordered_map<bufferevent*, EventPointer<bufferevent>> connections;
    int callsOfLine = 0;
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

} // namespace Greengage
