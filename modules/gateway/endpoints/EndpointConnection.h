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

/// One HTTP connection to an endpoint, carrying one exchange at a time. It writes only once it is connected and
/// observes its output buffer, so that it knows whether any byte of a request has been sent.
class EndpointConnection {
public:
    using Finished = std::function<void(ExchangeResult)>;

    EndpointConnection(event_base&, const EndpointAddress&, std::string sourceAddress);
    ~EndpointConnection();

    EndpointConnection(const EndpointConnection&) = delete;
    EndpointConnection& operator=(const EndpointConnection&) = delete;

    /// Starts an exchange; none may be in progress. `finished` is called exactly once, from the event loop and never
    /// from within this call. It must not destroy the connection.
    void start(const ExchangeRequest&, Finished finished);

    /// Whether the connection is open and idle, and all its exchanges so far have completed.
    bool isReusable() const;

    const EndpointAddress& address() const { return this->endpoint; }

    /// When the connection is closed if it stays idle.
    Deadline idleUntil;

private:
    void connect();
    bool sendRequest(const ExchangeRequest&);
    void interceptConnectEvent();
    void handleConnectEvent(short events);
    void handleResponse(evhttp_request*);
    void handleTimeout();
    void finish(ExchangeEnd);
    void finish(ExchangeResult);
    void close();
    static void onOutputChanged(evbuffer*, const evbuffer_cb_info*, void* self);

    event_base& base;
    EndpointAddress endpoint;
    std::string sourceAddress;
    evhttp_connection* connection = nullptr;
    /// evhttp's own event callback and its argument, saved while interceptConnectEvent has replaced them.
    void (*evhttpEventCallback)(bufferevent*, short, void*) = nullptr;
    void* evhttpCallbackArgument = nullptr;
    Deadline notAfter;
    Deadline answerBy;
    bool isConnected = false;
    bool isExchanging = false;
    bool hasSentBytes = false;
    bool isClosed = false;
    Finished finished;
    ExchangeResult result;
    Timer timeoutTimer;
    Timer completionTimer;
};

} // namespace Greengage
