#pragma once

#include <core/errors/Result.h>
#include <store/http/HttpAnswer.h>
#include <store/http/HttpCall.h>
#include <store/http/HttpFailure.h>

#include <functional>
#include <memory>
#include <optional>

struct event;
struct event_base;
struct evhttp_request;

namespace Greengage {

class HttpConnection;

/// One request and its response on one connection, under one timeout.
class HttpExchange {
public:
    using Outcome = Result<HttpAnswer, HttpFailure>;
    using Finished = std::function<void(HttpExchange&)>;

    /// `finished` is called once, from the loop; it may destroy the exchange.
    HttpExchange(event_base&, std::unique_ptr<HttpConnection>, Finished finished);
    ~HttpExchange();

    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    void start(const HttpCall&);

    /// What came of it; to be read once, after `finished`.
    Outcome takeOutcome() { return std::move(*this->outcome); }

    /// The connection, if it can carry another request; otherwise nothing.
    std::unique_ptr<HttpConnection> takeReusableConnection();

private:
    static void responded(evhttp_request*, void*);
    static void timerFired(int, short, void*);

    void settle(Outcome);
    void fail(const char* detail);

    std::unique_ptr<HttpConnection> connection;
    Finished finished;
    event* timer;
    std::optional<Outcome> outcome;
    bool reusable = false;
};

} // namespace Greengage
