#pragma once

#include <config/settings/SocketAddress.h>
#include <core/errors/Result.h>
#include <core/time/Deadline.h>
#include <fleet/peers/PeerState.h>
#include <loop/timers/Timer.h>
#include <mesh/MeshError.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Json {
class Value;
}

namespace Greengage {

struct DocumentRecord;

/// Calls one other daemon over one connection, which is opened on demand. The callback of a call is called exactly
/// once, from the event loop and never from within the call. When a call times out, the peer counts as unresponsive:
/// the connection is closed, its other calls fail, and the next call opens a new one. Destroying the client drops its
/// pending calls without calling back.
class MeshClient {
public:
    /// `sourceAddress` is the local address that the connection is bound to.
    MeshClient(event_base&, SocketAddress peer, std::string sourceAddress);
    ~MeshClient();

    MeshClient(const MeshClient&) = delete;
    MeshClient& operator=(const MeshClient&) = delete;

    template <typename Value> using Callback = std::function<void(Result<Value, MeshError>)>;

    /// Reads the peer's state. The request does not carry the caller's own state: the peer could not tell how long it
    /// was in transit, so the ages in it would be unreliable. The peer reads that state with a call of its own instead.
    void readState(Callback<PeerState>);

    /// Fetches the peer's document; the peer refuses the call if its revision is older than `revision`.
    void fetchDocument(std::uint64_t revision, Callback<DocumentRecord>);

    const SocketAddress& address() const { return this->peer; }
    std::size_t pendingCallCount() const { return this->calls.size(); }
    std::uint64_t bytesReceived() const { return this->received; }
    std::uint64_t bytesSent() const { return this->sent; }

private:
    using Reply = Result<Json::Value, MeshError>;

    struct Call {
        Deadline answerBy;
        std::function<void(const Reply&)> onFinished;
    };

    void call(const char* method, Json::Value parameters, std::function<void(const Reply&)> onFinished);
    bool connect();
    void read();
    void handleLine(const std::string& line);
    void handleTimer();
    void fail(const MeshError&);
    void scheduleTimer();

    event_base& base;
    SocketAddress peer;
    std::string sourceAddress;
    EventPointer<bufferevent> connection;
    std::map<std::int64_t, Call> calls;
    std::int64_t nextCall = 1;
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    Timer timer;
};

} // namespace Greengage
