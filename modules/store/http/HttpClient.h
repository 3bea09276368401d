#pragma once

#include <core/errors/Result.h>
#include <store/http/HttpAnswer.h>
#include <store/http/HttpCall.h>
#include <store/http/HttpFailure.h>

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace Greengage {

/// Sends HTTP requests on the caller's event loop, each alone on a connection. A connection whose exchange ended with a
/// whole response is kept for the next call to the same address; any other is closed. Requests are never resent.
class HttpClient {
public:
    using Callback = std::function<void(Result<HttpAnswer, HttpFailure>)>;

    /// `sourceAddress` is the local address that connections are bound to.
    HttpClient(event_base&, std::string sourceAddress);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Ends in exactly one call of the callback, never from within `send`, and at the latest when the call's timeout
    /// has passed (since the last part of the answer, if the call extends it on progress). Destroying the client drops
    /// the calls under way without calling back.
    void send(HttpCall, Callback);

    /// Closes the idle connections, so that later calls open new ones.
    void closeIdleConnections();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
