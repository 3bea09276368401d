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

/// Whether the response has a Content-Length and its body has that length.
bool isComplete(const evkeyvalq& headers, std::size_t bodyBytes)
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
    , timeoutTimer(base, [this] { this->handleTimeout(); })
    , completionTimer(base, [this] {
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
    this->hasSentBytes = false;
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
    this->timeoutTimer.schedule(bound.remaining(now));
    if (!this->sendRequest(request))
        this->finish(ExchangeEnd::NotSent);
}

bool EndpointConnection::isReusable() const { return this->isConnected && !this->isClosed && !this->isExchanging; }

void EndpointConnection::connect()
{
    bufferevent* transport = bufferevent_socket_new(&this->base, -1, BEV_OPT_CLOSE_ON_FREE);
    assertInvariant(transport, "bufferevent_socket_new returns an object");
    this->connection = evhttp_connection_base_bufferevent_new(
        &this->base, nullptr, transport, this->endpoint.address.c_str(), this->endpoint.port);
    assertInvariant(this->connection, "evhttp_connection_base_bufferevent_new returns an object");
    evhttp_connection_set_local_address(this->connection, this->sourceAddress.c_str());
    evhttp_connection_set_max_headers_size(this->connection, maxResponseHeaderBytes);
    evhttp_connection_set_max_body_size(this->connection, maxResponseBodyBytes);
    evhttp_connection_set_closecb(
        this->connection,
        [](evhttp_connection*, void* self) { static_cast<EndpointConnection*>(self)->isClosed = true; }, this);
    evbuffer_add_cb(bufferevent_get_output(transport), &EndpointConnection::onOutputChanged, this);
}

void EndpointConnection::onOutputChanged(evbuffer*, const evbuffer_cb_info* change, void* self)
{
    // libevent removes bytes from the output buffer only when it writes them to the socket or resets a broken
    // connection. The latter counts as sent too.
    if (change->n_deleted > 0)
        static_cast<EndpointConnection*>(self)->hasSentBytes = true;
}

bool EndpointConnection::sendRequest(const ExchangeRequest& exchange)
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
        this->interceptConnectEvent();
    return true;
}

/// Replaces evhttp's event callback until the connection is established, because evhttp would write the request at
/// once, without checking `notAfter` again.
void EndpointConnection::interceptConnectEvent()
{
    bufferevent* transport = evhttp_connection_get_bufferevent(this->connection);
    bufferevent_getcb(transport, nullptr, nullptr, &this->evhttpEventCallback, &this->evhttpCallbackArgument);
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
    bufferevent_setcb(transport, nullptr, nullptr, this->evhttpEventCallback, this->evhttpCallbackArgument);
    if (events & BEV_EVENT_CONNECTED) {
        this->isConnected = true;
        this->timeoutTimer.schedule(this->answerBy.remaining(now));
    }
    this->evhttpEventCallback(transport, events, this->evhttpCallbackArgument);
}

void EndpointConnection::handleResponse(evhttp_request* request)
{
    if (!this->isExchanging)
        return;
    if (!request || evhttp_request_get_response_code(request) == 0) {
        this->isClosed = true;
        this->finish(this->hasSentBytes ? ExchangeEnd::Broken : ExchangeEnd::NotSent);
        return;
    }
    const evkeyvalq& headers = *evhttp_request_get_input_headers(request);
    ExchangeResult answer;
    answer.end = ExchangeEnd::Completed;
    answer.status = evhttp_request_get_response_code(request);
    answer.contentType = headerValue(headers, "Content-Type");
    answer.echoedRequest = headerValue(headers, HeaderNames::request);
    answer.body = takeBytes(*evhttp_request_get_input_buffer(request));
    if (!isComplete(headers, answer.body.size())) {
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
    this->finish(this->hasSentBytes ? ExchangeEnd::TimedOut : ExchangeEnd::NotSent);
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
    this->timeoutTimer.cancel();
    // A connection whose exchange did not complete is never reused, and nothing more may be sent on it. evhttp may be
    // further up the call stack, so the connection is closed later, by the receiver of the result.
    if (end.end != ExchangeEnd::Completed) {
        this->isClosed = true;
        if (this->connection)
            bufferevent_disable(evhttp_connection_get_bufferevent(this->connection), EV_READ | EV_WRITE);
    }
    this->result = std::move(end);
    this->completionTimer.schedule(Microseconds::zero());
}

void EndpointConnection::close()
{
    if (!this->connection)
        return;
    evhttp_connection_set_closecb(this->connection, nullptr, nullptr);
    evbuffer_remove_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(this->connection)),
        &EndpointConnection::onOutputChanged, this);
    evhttp_connection_free(this->connection);
    this->connection = nullptr;
}

} // namespace Greengage
