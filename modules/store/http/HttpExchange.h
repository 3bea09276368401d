#pragma once

#include <core/errors/Result.h>
#include <core/time/Instant.h>
#include <store/http/HttpFailure.h>
#include <store/http/HttpRequest.h>
#include <store/http/HttpResponse.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

struct event;
struct event_base;
struct evhttp_request;

namespace Greengage {

class HttpConnection;

/// Sends one request over a connection and waits for its response, with one timeout for both.
class HttpExchange {
public:
    using Outcome = Result<HttpResponse, HttpFailure>;
    using Finished = std::function<void(HttpExchange&)>;

    /// `finished` is called once, from the event loop; it may destroy the exchange.
    HttpExchange(event_base&, std::unique_ptr<HttpConnection>, Finished finished);
    ~HttpExchange();

    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    void start(const HttpRequest&);

    /// The response or the failure; call it once, after `finished`.
    Outcome takeOutcome() { return std::move(*this->outcome); }

    /// The connection if it can carry another request, otherwise null.
    std::unique_ptr<HttpConnection> takeReusableConnection();

    /// If the exchange has timed out on a connection that had carried others before: since when nothing has arrived on
    /// it. Such a connection may have been cut off without a reset, and others that were open then as well.
    std::optional<Instant> silentSince() const;

private:
    static void onResponse(evhttp_request*, void*);
    static void onTimer(int, short, void*);

    void complete(Outcome);
    void fail(const char* detail);

    std::unique_ptr<HttpConnection> connection;
    Finished finished;
    event* timer;
    /// Where the request goes, for reports of errors.
    std::string target;
    std::optional<Outcome> outcome;
    bool reusable = false;
    bool hasTimedOut = false;
    /// When the request was sent or the latest bytes of the response arrived.
    Instant lastProgress;
};

} // namespace Greengage
