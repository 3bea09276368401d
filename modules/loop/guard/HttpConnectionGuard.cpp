#include <loop/guard/HttpConnectionGuard.h>

#include <core/checks/Assertion.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/BootClock.h>
#include <loop/guard/HeaderEndScanner.h>
#include <loop/guard/ReceiveBuffer.h>

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <utility>

namespace Greengage {

namespace {

/// What evhttp needs to store a header, divided by the two removals from the input by which it reads a line.
constexpr std::size_t bytesPerRemoval = 64;
/// The shortest header line, "a:" with a line feed.
constexpr std::size_t shortestHeaderBytes = 3;
/// Deadlines are checked at most this often.
constexpr Milliseconds leastSweepPause { 100 };
/// evhttp's own timeout would also close connections that wait for their answer, so it is too long to take effect.
constexpr int serverTimeoutSeconds = 24 * 3600;

} // namespace

/// One connection. Watches what is added to its buffers and removed from them.
class HttpConnectionGuard::Connection {
public:
    Connection(HttpConnectionGuard& owner, bufferevent* transport)
        : owner(owner)
        , transport(transport)
    {
        this->inputWatch = evbuffer_add_cb(
            bufferevent_get_input(transport),
            [](evbuffer*, const evbuffer_cb_info* change, void* connection) {
                static_cast<Connection*>(connection)->inputChanged(*change);
            },
            this);
        this->outputWatch = evbuffer_add_cb(
            bufferevent_get_output(transport),
            [](evbuffer*, const evbuffer_cb_info*, void* connection) {
                static_cast<Connection*>(connection)->outputChanged();
            },
            this);
        this->limitReading();
    }

    ~Connection()
    {
        evbuffer_remove_cb_entry(bufferevent_get_input(this->transport), this->inputWatch);
        evbuffer_remove_cb_entry(bufferevent_get_output(this->transport), this->outputWatch);
    }

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void enter(ConnectionPhase phase)
    {
        if (!this->isGuarded())
            return;
        Deadline deadline = this->owner.guard.enter(this->transport, phase, BootClock::now());
        if (phase == ConnectionPhase::Idle || phase == ConnectionPhase::Headers) {
            this->consumedBytes = 0;
            this->removals = 0;
            this->headerEnd = HeaderEndScanner();
        }
        this->limitReading();
        this->updateHeld();
        this->owner.sweepBy(deadline);
    }

    /// Null until the connection is adopted.
    evhttp_connection* httpConnection = nullptr;

private:
    /// False once the guard has decided to close the connection.
    bool isGuarded() const { return this->owner.guard.contains(this->transport); }
    std::size_t inputBytes() const { return evbuffer_get_length(bufferevent_get_input(this->transport)); }
    std::size_t outputBytes() const { return evbuffer_get_length(bufferevent_get_output(this->transport)); }

    void inputChanged(const evbuffer_cb_info& change)
    {
        if (!this->isGuarded())
            return;
        this->consumedBytes += change.n_deleted;
        this->removals += change.n_deleted ? 1 : 0;
        if (change.n_added && this->phase() == ConnectionPhase::Idle)
            this->enter(ConnectionPhase::Headers);
        if (change.n_added && this->phase() == ConnectionPhase::Headers)
            this->scanHeaders(change.orig_size);
        this->updateHeld();
        if (change.n_added)
            this->owner.closeExcess(this->transport);
    }

    void outputChanged()
    {
        if (!this->isGuarded())
            return;
        this->updateHeld();
        if (this->phase() != ConnectionPhase::Writing || this->outputBytes())
            return;
        bool isNextRequestBegun = this->inputBytes();
        this->enter(isNextRequestBegun ? ConnectionPhase::Headers : ConnectionPhase::Idle);
        if (isNextRequestBegun)
            this->scanHeaders(0);
    }

    /// Begins the next phase if the headers end at or after this position of the input.
    void scanHeaders(std::size_t begin)
    {
        evbuffer* input = bufferevent_get_input(this->transport);
        evbuffer_ptr position {};
        evbuffer_ptr_set(input, &position, begin, EVBUFFER_PTR_SET);
        std::array<evbuffer_iovec, 16> parts {};
        int count = evbuffer_peek(input, -1, &position, parts.data(), parts.size());
        for (int index = 0; index < std::min<int>(count, parts.size()); ++index) {
            if (this->headerEnd.feed({ static_cast<const char*>(parts[index].iov_base), parts[index].iov_len })) {
                this->enter(ConnectionPhase::Body);
                return;
            }
        }
    }

    ConnectionPhase phase() const { return this->owner.guard.phaseOf(this->transport); }

    void limitReading() const
    {
        bufferevent_setwatermark(this->transport, EV_READ, 0, this->owner.guard.readLimit(this->transport));
    }

    void updateHeld() const
    {
        const ConnectionLimits& limits = this->owner.guard.currentLimits();
        // evhttp limits the bytes of all headers, so it stores no more headers than these.
        std::size_t mostHeaders = limits.maxHeaderBytes / shortestHeaderBytes;
        std::size_t stored = std::min(this->removals, 2 * mostHeaders) * bytesPerRemoval;
        bool isHandled = this->phase() == ConnectionPhase::Handling;
        std::size_t consumed = this->consumedBytes * (isHandled ? limits.handlingCopies : 1);
        this->owner.guard.hold(this->transport, this->inputBytes() + this->outputBytes() + consumed + stored);
    }

    HttpConnectionGuard& owner;
    bufferevent* transport;
    evbuffer_cb_entry* inputWatch = nullptr;
    evbuffer_cb_entry* outputWatch = nullptr;
    HeaderEndScanner headerEnd;
    /// Bytes of the current request that evhttp has taken from the input, and how many times it took some.
    std::size_t consumedBytes = 0;
    std::size_t removals = 0;
};

HttpConnectionGuard::HttpConnectionGuard(
    event_base& base, std::string listener, const ConnectionLimits& limits, Handlers handlers)
    : listener(std::move(listener))
    , guard(limits)
    , handlers(std::move(handlers))
    , adoptionTimer(base, [this] { this->adoptConnections(); })
    , sweepTimer(base, [this] { this->closeOverdue(); })
{
}

HttpConnectionGuard::~HttpConnectionGuard()
{
    for (bufferevent* transport : this->newConnections)
        bufferevent_decref(transport);
}

void HttpConnectionGuard::attach(evhttp& attached, evhttp_bound_socket& boundSocket)
{
    this->server = &attached;
    this->socket = &boundSocket;
    limitReceiveBuffers(evhttp_bound_socket_get_fd(this->socket));
    evhttp_set_timeout(this->server, serverTimeoutSeconds);
    evhttp_set_bevcb(this->server, &HttpConnectionGuard::createTransport, this);
    this->setLimits(this->guard.currentLimits());
}

void HttpConnectionGuard::setLimits(const ConnectionLimits& limits)
{
    this->guard.setLimits(limits);
    if (!this->server)
        return;
    evhttp_set_max_headers_size(this->server, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_set_max_body_size(this->server, static_cast<ev_ssize_t>(limits.maxBodyBytes));
    this->adoptConnections();
    for (const auto& [transport, connection] : this->connections)
        this->applyLimits(connection->httpConnection);
    this->closeExcess();
    this->updateAccepting();
}

void HttpConnectionGuard::applyLimits(evhttp_connection* connection) const
{
    const ConnectionLimits& limits = this->guard.currentLimits();
    evhttp_connection_set_max_headers_size(connection, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(limits.maxBodyBytes));
}

bufferevent* HttpConnectionGuard::createTransport(event_base* base, void* argument)
{
    auto* self = static_cast<HttpConnectionGuard*>(argument);
    bufferevent* transport = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    assertInvariant(transport, "bufferevent_socket_new returns an object");
    bufferevent_incref(transport);
    self->newConnections.push_back(transport);
    self->guard.open(transport, BootClock::now());
    self->connections.emplace(transport, std::make_unique<Connection>(*self, transport));
    self->adoptionTimer.schedule(Microseconds::zero());
    self->closeExcess(transport);
    self->updateAccepting();
    return transport;
}

/// evhttp tells nobody of a new connection. It initializes the connection once `createTransport` has returned, and from
/// then on passes it to the callbacks of its transport.
void HttpConnectionGuard::adoptConnections()
{
    for (bufferevent* transport : std::exchange(this->newConnections, {})) {
        bufferevent_event_cb eventCallback = nullptr;
        void* argument = nullptr;
        bufferevent_getcb(transport, nullptr, nullptr, &eventCallback, &argument);
        if (eventCallback) {
            auto* connection = static_cast<evhttp_connection*>(argument);
            this->connections.at(transport)->httpConnection = connection;
            evhttp_connection_set_closecb(
                connection,
                [](evhttp_connection* freed, void* self) {
                    static_cast<HttpConnectionGuard*>(self)->handleFreed(freed);
                },
                this);
            this->applyLimits(connection);
        } else {
            // evhttp has freed the connection.
            this->guard.remove(transport);
            this->connections.erase(transport);
        }
        bufferevent_decref(transport);
    }
    this->updateAccepting();
}

void HttpConnectionGuard::handleFreed(evhttp_connection* freed)
{
    this->handlers.onConnectionFreed(freed);
    bufferevent* transport = evhttp_connection_get_bufferevent(freed);
    this->guard.remove(transport);
    this->connections.erase(transport);
    this->updateAccepting();
}

bool HttpConnectionGuard::requestArrived(evhttp_connection* connection)
{
    // A connection that is being closed could not take the answer.
    bufferevent* transport = evhttp_connection_get_bufferevent(connection);
    if (!this->guard.contains(transport))
        return false;
    this->connections.at(transport)->enter(ConnectionPhase::Handling);
    this->closeExcess(transport);
    this->updateAccepting();
    return this->guard.heldBytes() <= this->guard.currentLimits().maxHeldBytes;
}

void HttpConnectionGuard::answering(evhttp_connection* connection)
{
    bufferevent* transport = evhttp_connection_get_bufferevent(connection);
    this->connections.at(transport)->enter(ConnectionPhase::Writing);
    this->closeExcess(transport);
    this->updateAccepting();
}

void HttpConnectionGuard::closeExcess(const bufferevent* current)
{
    while (auto excess = this->guard.takeExcess())
        this->close(*excess, current);
}

void HttpConnectionGuard::closeOverdue()
{
    while (auto overdue = this->guard.takeOverdue(BootClock::now()))
        this->close(*overdue);
    this->nextSweep = Deadline::never();
    this->sweepBy(this->guard.nextDeadline());
    this->updateAccepting();
}

void HttpConnectionGuard::close(const ConnectionClosing<bufferevent*>& closing, const bufferevent* current)
{
    this->handlers.onClosing(closing.reason);
    // An idle connection that has to be reopened is no event.
    bool isOrdinary = closing.reason == CloseReason::Overdue && closing.phase == ConnectionPhase::Idle;
    auto suppressed
        = isOrdinary ? std::nullopt : this->log.admit(std::string(nameOf(closing.reason)), BootClock::now());
    if (suppressed)
        writeLog(LogLevel::Warning,
            LogLine("connection_closed")
                .add("listener", this->listener)
                .add("reason", nameOf(closing.reason))
                .add("phase", nameOf(closing.phase))
                .add("held_bytes", closing.heldBytes)
                .add("connections", this->guard.connectionCount())
                .add("suppressed", *suppressed));
    // evhttp frees the connection, as if it were broken. Waiting with that would let other connections take more
    // memory.
    bool isRunning = closing.connection == current;
    bufferevent_trigger_event(closing.connection, BEV_EVENT_ERROR, isRunning ? BEV_TRIG_DEFER_CALLBACKS : 0);
}

void HttpConnectionGuard::sweepBy(Deadline deadline)
{
    if (deadline >= this->nextSweep)
        return;
    this->nextSweep = deadline;
    this->sweepTimer.schedule(std::max<Microseconds>(leastSweepPause, deadline.remaining(BootClock::now())));
}

void HttpConnectionGuard::updateAccepting()
{
    if (!this->socket)
        return;
    evconnlistener* socketListener = evhttp_bound_socket_get_listener(this->socket);
    Deadline acceptingFrom = this->guard.acceptingFrom();
    if (acceptingFrom.hasPassed(BootClock::now())) {
        evconnlistener_enable(socketListener);
    } else {
        evconnlistener_disable(socketListener);
        this->sweepBy(acceptingFrom);
    }
}

} // namespace Greengage
