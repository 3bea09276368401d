#pragma once

#include <core/errors/Result.h>
#include <store/http/HttpFailure.h>
#include <store/http/HttpRequest.h>
#include <store/http/HttpResponse.h>

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace Greengage {

/// HTTP client on the caller's event loop, with one request at a time per connection. A connection is kept for later
/// calls to the same address if its exchange ended with a complete response, and closed otherwise. If a call times out
/// on such a connection, the idle ones that have been silent as long are closed too. Requests are never resent.
class HttpClient {
public:
    using Callback = std::function<void(Result<HttpResponse, HttpFailure>)>;

    /// `sourceAddress` is the local address that connections are bound to.
    HttpClient(event_base&, std::string sourceAddress);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Calls the callback exactly once, never from within `send`, and no later than the call's timeout (counted from
    /// the last part of the response if `extendsOnProgress` is set). Destroying the client drops the calls in progress
    /// without calling back.
    void send(HttpRequest, Callback);

    /// Closes the idle connections, so that later calls open new ones.
    void closeIdleConnections();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
