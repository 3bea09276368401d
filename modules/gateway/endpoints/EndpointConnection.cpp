#include <gateway/endpoints/EndpointConnection.h>

#include <core/checks/Assertion.h>
#include <gateway/http/HeaderNames.h>
#include <loop/http/HttpBuffers.h>

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

namespace Greengage {

namespace {

constexpr ev_ssize_t maxResponseHeaderBytes = 16 * 1024;
constexpr ev_ssize_t maxResponseBodyBytes = 1024 * 1024;

/// Whether the response says how long its body is, and the body is that long.
bool isWhole(const evkeyvalq& headers, std::size_t bodyBytes)
{
    std::string text = headerValue(headers, "Content-Length");
    std::size_t length = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc() && end == text.data() + text.size() && !text.empty() && length == bodyBytes;
}

} // namespace

EndpointConnection::EndpointConnection(event_base& base, const EndpointAddress& endpoint, std::string sourceAddress)
    : base(base)
    , endpoint(endpoint)
    , sourceAddress(std::move(sourceAddress))
    , timeout(base, [this] { this->handleTimeout(); })
    , completion(base, [this] {
        Finished callback = std::move(this->finished);
        callback(std::move(this->result));
    })
{
}

EndpointConnection::~EndpointConnection() { this->close(); }

void EndpointConnection::start(const ExchangeRequest& request, Finished finished)
{
    assertInvariant(!this->isExchanging && !this->isClosed, "one exchange at a time on an open connection");
    this->finished = std::move(finished);
    this->isExchanging = true;
    this->bytesLeft = false;
    this->notAfter = request.notAfter;
    this->answerBy = request.answerBy;
    Instant now = BootClock::now();
    if (request.notAfter.hasPassed(now)) {
        this->finish(ExchangeEnd::NotSent);
        return;
    }
    if (!this->connection)
        this->connect();
    Deadline bound = this->isConnected ? this->answerBy : std::min(this->notAfter, this->answerBy);
    this->timeout.schedule(bound.remaining(now));
    if (!this->makeRequest(request))
        this->finish(ExchangeEnd::NotSent);
}

bool EndpointConnection::isReusable() const { return this->isConnected && !this->isClosed && !this->isExchanging; }

void EndpointConnection::connect()
{
    bufferevent* transport = bufferevent_socket_new(&this->base, -1, BEV_OPT_CLOSE_ON_FREE);
    assertInvariant(transport, "bufferevent_socket_new gives an object");
    this->connection = evhttp_connection_base_bufferevent_new(
        &this->base, nullptr, transport, this->endpoint.address.c_str(), this->endpoint.port);
    assertInvariant(this->connection, "evhttp_connection_base_bufferevent_new gives an object");
    evhttp_connection_set_local_address(this->connection, this->sourceAddress.c_str());
    evhttp_connection_set_max_headers_size(this->connection, maxResponseHeaderBytes);
    evhttp_connection_set_max_body_size(this->connection, maxResponseBodyBytes);
    evhttp_connection_set_closecb(
        this->connection,
        [](evhttp_connection*, void* self) { static_cast<EndpointConnection*>(self)->isClosed = true; }, this);
    evbuffer_add_cb(bufferevent_get_output(transport), &EndpointConnection::countBytes, this);
}

void EndpointConnection::countBytes(evbuffer*, const evbuffer_cb_info* change, void* self)
{
    // The loop takes bytes out of the output buffer only by handing them to the kernel, or on the reset of a broken
    // connection, which then counts as if they had left.
    if (change->n_deleted > 0)
        static_cast<EndpointConnection*>(self)->bytesLeft = true;
}

bool EndpointConnection::makeRequest(const ExchangeRequest& exchange)
{
    evhttp_request* request = evhttp_request_new(
        [](evhttp_request* answered, void* self) { static_cast<EndpointConnection*>(self)->handleResponse(answered); },
        this);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", this->endpoint.address.c_str());
    for (const HttpHeader& header : exchange.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), exchange.body.data(), exchange.body.size());
    evhttp_cmd_type method = exchange.isPost ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    if (evhttp_make_request(this->connection, request, method, exchange.path.c_str()) != 0) {
        evhttp_request_free(request);
        return false;
    }
    if (!this->isConnected && this->isExchanging)
        this->holdUntilConnected();
    return true;
}

/// Puts itself between the socket and evhttp until the connection stands, because evhttp would write at once.
void EndpointConnection::holdUntilConnected()
{
    bufferevent* transport = evhttp_connection_get_bufferevent(this->connection);
    bufferevent_getcb(transport, nullptr, nullptr, &this->heldCallback, &this->heldArgument);
    auto intercept = [](bufferevent*, short events, void* self) {
        static_cast<EndpointConnection*>(self)->handleConnectEvent(events);
    };
    bufferevent_setcb(transport, nullptr, nullptr, intercept, this);
}

void EndpointConnection::handleConnectEvent(short events)
{
    if (!this->isExchanging)
        return;
    Instant now = BootClock::now();
    if (this->notAfter.hasPassed(now)) {
        this->finish(ExchangeEnd::NotSent);
        return;
    }
    bufferevent* transport = evhttp_connection_get_bufferevent(this->connection);
    bufferevent_setcb(transport, nullptr, nullptr, this->heldCallback, this->heldArgument);
    if (events & BEV_EVENT_CONNECTED) {
        this->isConnected = true;
        this->timeout.schedule(this->answerBy.remaining(now));
    }
    this->heldCallback(transport, events, this->heldArgument);
}

void EndpointConnection::handleResponse(evhttp_request* request)
{
    if (!this->isExchanging)
        return;
    if (!request || evhttp_request_get_response_code(request) == 0) {
        this->isClosed = true;
        this->finish(this->bytesLeft ? ExchangeEnd::Broken : ExchangeEnd::NotSent);
        return;
    }
    const evkeyvalq& headers = *evhttp_request_get_input_headers(request);
    ExchangeResult answer;
    answer.end = ExchangeEnd::Completed;
    answer.status = evhttp_request_get_response_code(request);
    answer.contentType = headerValue(headers, "Content-Type");
    answer.echoedRequest = headerValue(headers, HeaderNames::request);
    answer.body = takeBytes(*evhttp_request_get_input_buffer(request));
    if (!isWhole(headers, answer.body.size())) {
        this->isClosed = true;
        this->finish(ExchangeEnd::Broken);
        return;
    }
    this->finish(std::move(answer));
}

void EndpointConnection::handleTimeout()
{
    if (!this->isExchanging)
        return;
    this->finish(this->bytesLeft ? ExchangeEnd::TimedOut : ExchangeEnd::NotSent);
}

void EndpointConnection::finish(ExchangeEnd end)
{
    ExchangeResult ended;
    ended.end = end;
    this->finish(std::move(ended));
}

void EndpointConnection::finish(ExchangeResult end)
{
    this->isExchanging = false;
    this->timeout.cancel();
    // A connection whose exchange did not complete is never used again, and nothing more may leave on it. evhttp may be
    // above us on the stack, so the connection is closed by whoever takes the result.
    if (end.end != ExchangeEnd::Completed) {
        this->isClosed = true;
        if (this->connection)
            bufferevent_disable(evhttp_connection_get_bufferevent(this->connection), EV_READ | EV_WRITE);
    }
    this->result = std::move(end);
    this->completion.schedule(Microseconds::zero());
}

void EndpointConnection::close()
{
    if (!this->connection)
        return;
    evhttp_connection_set_closecb(this->connection, nullptr, nullptr);
    evbuffer_remove_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(this->connection)),
        &EndpointConnection::countBytes, this);
    evhttp_connection_free(this->connection);
    this->connection = nullptr;
}

} // namespace Greengage
