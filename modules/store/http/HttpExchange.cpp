#include <store/http/HttpExchange.h>

#include <core/checks/Assertion.h>
#include <core/errors/ErrorBoundary.h>
#include <loop/http/HttpBuffers.h>
#include <store/http/HttpConnection.h>

#include <algorithm>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string>
#include <string_view>
#include <sys/time.h>

namespace Greengage {

namespace {

timeval toTimeval(Milliseconds span)
{
    auto seconds = std::chrono::duration_cast<Seconds>(span);
    return { seconds.count(), std::chrono::duration_cast<Microseconds>(span - seconds).count() };
}

HttpResponse toResponse(evhttp_request* request)
{
    HttpResponse answer;
    answer.status = evhttp_request_get_response_code(request);
    auto* fields = evhttp_request_get_input_headers(request);
    for (auto* field = fields->tqh_first; field; field = field->next.tqe_next)
        answer.headers.push_back({ field->key, field->value });
    answer.body = takeBytes(*evhttp_request_get_input_buffer(request));
    return answer;
}

/// The address and path of a call, without its query.
std::string describeTarget(const HttpRequest& call)
{
    return call.address + ":" + std::to_string(call.port) + call.path.substr(0, call.path.find('?'));
}

bool closesConnection(const HttpResponse& answer)
{
    std::string value(answer.header("Connection"));
    std::transform(value.begin(), value.end(), value.begin(), [](unsigned char c) { return std::tolower(c); });
    return value == "close";
}

} // namespace

HttpExchange::HttpExchange(event_base& base, std::unique_ptr<HttpConnection> connection, Finished finished)
    : connection(std::move(connection))
    , finished(std::move(finished))
    , timer(event_new(&base, -1, 0, onTimer, this))
{
    assertInvariant(this->timer, "event_new returns a timer");
}

HttpExchange::~HttpExchange() { event_free(this->timer); }

void HttpExchange::start(const HttpRequest& call)
{
    this->target = describeTarget(call);
    auto limit = toTimeval(call.timeout);
    event_add(this->timer, &limit);
    this->lastProgress = BootClock::now();
    this->connection->startRequest([this, limit, extendsOnProgress = call.extendsOnProgress] {
        this->lastProgress = BootClock::now();
        if (extendsOnProgress && !this->outcome)
            event_add(this->timer, &limit);
    });
    auto* request = evhttp_request_new(onResponse, this);
    auto* fields = evhttp_request_get_output_headers(request);
    bool valid = evhttp_add_header(fields, "Host", call.address.c_str()) == 0;
    for (const auto& field : call.headers)
        valid = evhttp_add_header(fields, field.name.c_str(), field.value.c_str()) == 0 && valid;
    if (!valid) {
        evhttp_request_free(request);
        this->fail("a request header has an invalid name or value");
        return;
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    auto method = call.isPost || !call.body.empty() ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    if (evhttp_make_request(this->connection->handle(), request, method, call.path.c_str()) != 0)
        this->fail("cannot connect");
}

std::unique_ptr<HttpConnection> HttpExchange::takeReusableConnection()
{
    if (!this->reusable)
        return nullptr;
    this->connection->startRequest({});
    return std::move(this->connection);
}

std::optional<Instant> HttpExchange::silentSince() const
{
    return this->hasTimedOut && this->connection->lastResponse() ? std::optional(this->lastProgress) : std::nullopt;
}

void HttpExchange::onResponse(evhttp_request* request, void* context)
{
    auto& exchange = *static_cast<HttpExchange*>(context);
    if (!request || evhttp_request_get_response_code(request) == 0) {
        exchange.fail("connection broken");
        return;
    }
    auto answer = toResponse(request);
    exchange.reusable = !closesConnection(answer);
    exchange.connection->recordResponse(BootClock::now());
    exchange.complete(std::move(answer));
}

void HttpExchange::onTimer(int, short, void* context)
{
    auto& exchange = *static_cast<HttpExchange*>(context);
    if (!exchange.outcome) {
        exchange.hasTimedOut = true;
        exchange.connection->resetOnClose();
        exchange.outcome = HttpFailure { exchange.connection->hasWritten(), "timed out" };
    }
    // `finished` destroys the exchange.
    auto finished = std::move(exchange.finished);
    auto target = std::move(exchange.target);
    ErrorBoundary::run(
        ErrorEffect::StateInDoubt, WorkKind::CallAnswer, target, [&exchange, &finished] { finished(exchange); });
}

void HttpExchange::complete(Outcome result)
{
    if (this->outcome)
        return;
    this->outcome = std::move(result);
    // evhttp still uses the connection after its callback returns, so `finished` is called from the event loop.
    event_active(this->timer, EV_TIMEOUT, 0);
}

void HttpExchange::fail(const char* detail) { this->complete(HttpFailure { this->connection->hasWritten(), detail }); }

} // namespace Greengage
