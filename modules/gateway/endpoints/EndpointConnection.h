#pragma once

#include <core/time/Deadline.h>
#include <gateway/endpoints/EndpointAddress.h>
#include <gateway/endpoints/ExchangeRequest.h>
#include <gateway/endpoints/ExchangeResult.h>
#include <loop/timers/Timer.h>

#include <functional>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace Greengage {

/// One HTTP connection to an endpoint, carrying one exchange at a time. It connects first and writes after, and watches
/// its output buffer, so that it knows whether any byte of a request has left.
class EndpointConnection {
public:
    using Finished = std::function<void(ExchangeResult)>;

    EndpointConnection(event_base&, const EndpointAddress&, std::string sourceAddress);
    ~EndpointConnection();

    EndpointConnection(const EndpointConnection&) = delete;
    EndpointConnection& operator=(const EndpointConnection&) = delete;

    /// Begins an exchange; there must be none under way. `finished` is called exactly once, from the loop and never
    /// from within this call. It must not destroy the connection.
    void start(const ExchangeRequest&, Finished finished);

    /// Whether the connection is open, at rest and has only ever carried whole exchanges.
    bool isReusable() const;

    const EndpointAddress& address() const { return this->endpoint; }

    /// When an idle connection is to be closed.
    Deadline idleUntil;

private:
    void connect();
    bool makeRequest(const ExchangeRequest&);
    void holdUntilConnected();
    void handleConnectEvent(short events);
    void handleResponse(evhttp_request*);
    void handleTimeout();
    void finish(ExchangeEnd);
    void finish(ExchangeResult);
    void close();
    static void countBytes(evbuffer*, const evbuffer_cb_info*, void* self);

    event_base& base;
    EndpointAddress endpoint;
    std::string sourceAddress;
    evhttp_connection* connection = nullptr;
    /// What evhttp had set as the event callback while the connection is being made.
    void (*heldCallback)(bufferevent*, short, void*) = nullptr;
    void* heldArgument = nullptr;
    Deadline notAfter;
    Deadline answerBy;
    bool isConnected = false;
    bool isExchanging = false;
    bool bytesLeft = false;
    bool isClosed = false;
    Finished finished;
    ExchangeResult result;
    Timer timeout;
    Timer completion;
};

} // namespace Greengage
