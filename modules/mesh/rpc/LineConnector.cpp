#include <mesh/rpc/LineConnector.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/BootClock.h>
#include <loop/guard/ReceiveBuffer.h>

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <json/value.h>
#include <netinet/in.h>

namespace Greengage {

namespace {

constexpr std::size_t maxRequestLineBytes = 64 * 1024;
constexpr std::size_t maxBufferedResponseBytes = 4 * 1024 * 1024;
/// Answers that a peer has not read before its next line is taken.
constexpr std::size_t maxUnreadResponseBytes = 64 * 1024;
constexpr Milliseconds sweepInterval { 1000 };

ConnectionLimits meshLimits()
{
    constexpr Milliseconds timeout { 30'000 };
    ConnectionLimits limits;
    limits.maxConnections = 256;
    limits.maxHeldBytes = std::size_t(32) * 1024 * 1024;
    limits.headerTimeout = timeout;
    limits.writeTimeout = timeout;
    limits.idleTimeout = timeout;
    return limits;
}

} // namespace

LineConnector::LineConnector(
    event_base& base, std::string address, std::uint16_t port, std::function<void(CloseReason)> onClosing)
    : base(base)
    , address(std::move(address))
    , port(port)
    , onClosing(std::move(onClosing))
    , guard(meshLimits())
    , sweepTimer(base, [this] { this->closeOverdue(); })
{
}

LineConnector::~LineConnector() = default;

bool LineConnector::StartListening()
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(this->port);
    if (inet_pton(AF_INET, this->address.c_str(), &local.sin_addr) != 1)
        return false;
    auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<LineConnector*>(self)->accept(socket);
    };
    this->listener.reset(evconnlistener_new_bind(&this->base, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        -1, reinterpret_cast<sockaddr*>(&local), sizeof(local)));
    if (!this->listener)
        return false;
    limitReceiveBuffers(evconnlistener_get_fd(this->listener.get()));
    return true;
}

bool LineConnector::StopListening()
{
    this->listener.reset();
    while (!this->connections.empty())
        this->disconnect(this->connections.begin()->first);
    return true;
}

void LineConnector::accept(int socket)
{
    EventPointer<bufferevent> connection(bufferevent_socket_new(&this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent* handle = connection.get();
    auto read = [](bufferevent* from, void* self) { static_cast<LineConnector*>(self)->read(from); };
    bufferevent_setcb(
        handle, read, read,
        [](bufferevent* from, short, void* self) { static_cast<LineConnector*>(self)->disconnect(from); }, this);
    bufferevent_setwatermark(handle, EV_READ, 0, maxRequestLineBytes);
    bufferevent_enable(handle, EV_READ | EV_WRITE);
    this->connections.emplace(handle, std::move(connection));
    if (this->guard.connectionCount() == 0)
        this->sweepTimer.schedule(sweepInterval);
    this->guard.open(handle, BootClock::now());
    this->closeExcess();
    this->updateAccepting();
}

/// Called when bytes have arrived, and when all answers have been sent.
void LineConnector::read(bufferevent* from)
{
    evbuffer* input = bufferevent_get_input(from);
    evbuffer* output = bufferevent_get_output(from);
    std::size_t length = 0;
    while (evbuffer_get_length(output) < maxUnreadResponseBytes) {
        char* text = evbuffer_readln(input, &length, EVBUFFER_EOL_LF);
        if (!text)
            break;
        std::string line(text, length);
        free(text); // NOLINT(cppcoreguidelines-no-malloc): allocated by libevent
        this->received += length;
        this->enter(from, ConnectionPhase::Handling);
        if (!this->dispatch(line, from) || !this->connections.contains(from))
            return;
        this->enter(from, ConnectionPhase::Writing);
    }
    if (evbuffer_get_length(output) > 0)
        this->enter(from, ConnectionPhase::Writing);
    else if (evbuffer_get_length(input) >= maxRequestLineBytes) {
        this->disconnect(from);
        return;
    } else
        this->enter(from, evbuffer_get_length(input) > 0 ? ConnectionPhase::Headers : ConnectionPhase::Idle);
    this->guard.hold(from, evbuffer_get_length(input) + evbuffer_get_length(output));
    this->closeExcess();
}

bool LineConnector::dispatch(const std::string& line, bufferevent* from)
{
    this->callsOfLine = 0;
    try {
        this->OnRequest(line, from);
        return true;
    } catch (const Json::Exception&) {
        // jsoncpp throws if the nesting is too deep.
        this->disconnect(from);
        return false;
    }
}

bool LineConnector::SendResponse(const std::string& response, void* connection)
{
    auto* to = static_cast<bufferevent*>(connection);
    if (!this->connections.contains(to))
        return false;
    evbuffer* output = bufferevent_get_output(to);
    if (evbuffer_get_length(output) + response.size() > maxBufferedResponseBytes) {
        this->disconnect(to);
        return false;
    }
    // The library's writer may end its text with a newline; a line must end with exactly one.
    std::size_t length = response.find_last_not_of('\n') + 1;
    evbuffer_add(output, response.data(), length);
    evbuffer_add(output, "\n", 1);
    this->sent += length + 1;
    return true;
}

void LineConnector::enter(bufferevent* connection, ConnectionPhase phase)
{
    if (this->guard.phaseOf(connection) != phase)
        this->guard.enter(connection, phase, BootClock::now());
}

void LineConnector::closeExcess()
{
    while (auto excess = this->guard.takeExcess())
        this->close(*excess);
}

void LineConnector::closeOverdue()
{
    while (auto overdue = this->guard.takeOverdue(BootClock::now()))
        this->close(*overdue);
    if (this->guard.connectionCount() > 0)
        this->sweepTimer.schedule(sweepInterval);
    this->updateAccepting();
}

void LineConnector::updateAccepting()
{
    if (!this->listener)
        return;
    Instant now = BootClock::now();
    Deadline acceptingFrom = this->guard.acceptingFrom();
    if (acceptingFrom.hasPassed(now)) {
        evconnlistener_enable(this->listener.get());
        return;
    }
    evconnlistener_disable(this->listener.get());
    this->sweepTimer.schedule(std::min<Microseconds>(sweepInterval, acceptingFrom.remaining(now)));
}

void LineConnector::close(const ConnectionClosing<bufferevent*>& closing)
{
    this->onClosing(closing.reason);
    if (auto suppressed = this->log.admit(std::string(nameOf(closing.reason)), BootClock::now()))
        writeLog(LogLevel::Warning,
            LogLine("connection_closed")
                .add("listener", "mesh")
                .add("reason", nameOf(closing.reason))
                .add("phase", nameOf(closing.phase))
                .add("held_bytes", closing.heldBytes)
                .add("connections", this->guard.connectionCount())
                .add("suppressed", *suppressed));
    this->connections.erase(closing.connection);
}

void LineConnector::disconnect(bufferevent* connection)
{
    this->guard.remove(connection);
    this->connections.erase(connection);
    this->updateAccepting();
}

} // namespace Greengage
