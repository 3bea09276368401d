#pragma once

#include <loop/memory/EventDeleter.h>

#include <cstdint>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <string>
#include <unordered_map>

namespace Greengage {

/// Transports JSON-RPC messages for libjsonrpccpp's server over TCP connections on the event loop, one message a line.
/// A peer is disconnected if it sends a line that is too long, stays idle for too long, or does not read its answers.
class LineConnector : public jsonrpc::AbstractServerConnector {
public:
    LineConnector(event_base&, std::string address, std::uint16_t port);
    ~LineConnector() override;

    LineConnector(const LineConnector&) = delete;
    LineConnector& operator=(const LineConnector&) = delete;

    bool StartListening() override; // NOLINT(readability-identifier-naming): overrides the library's
    bool StopListening() override; // NOLINT(readability-identifier-naming)
    bool SendResponse(const std::string& response, void* connection) override; // NOLINT(readability-identifier-naming)

    std::uint64_t bytesReceived() const { return this->received; }
    std::uint64_t bytesSent() const { return this->sent; }

private:
    void accept(int socket);
    void read(bufferevent*);
    /// Passes a line to the library's server; returns whether the connection stays open.
    bool dispatch(const std::string& line, bufferevent* from);
    void disconnect(bufferevent*);

    event_base& base;
    std::string address;
    std::uint16_t port;
    EventPointer<evconnlistener> listener;
    std::unordered_map<bufferevent*, EventPointer<bufferevent>> connections;
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

} // namespace Greengage
