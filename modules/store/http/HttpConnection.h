#pragma once

#include <core/time/Instant.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct event_base;
struct evhttp_connection;

namespace Greengage {

/// An evhttp client connection that records whether any byte of the current request has been written to its socket, and
/// reports when bytes of the response arrive.
class HttpConnection {
public:
    HttpConnection(event_base&, const std::string& sourceAddress, std::string address, std::uint16_t port);
    ~HttpConnection();

    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    evhttp_connection* handle() const { return this->connection; }
    const std::string& remoteAddress() const { return this->address; }
    std::uint16_t remotePort() const { return this->port; }

    /// Resets `hasWritten` for a new request. `onBytesArrived` is called whenever bytes of the response arrive.
    void startRequest(std::function<void()> onBytesArrived)
    {
        this->hasWrittenBytes = false;
        this->onBytesArrived = std::move(onBytesArrived);
    }
    bool hasWritten() const { return this->hasWrittenBytes; }

    /// When the latest complete response arrived; nothing if there was none yet.
    std::optional<Instant> lastResponse() const { return this->respondedAt; }
    void recordResponse(Instant now) { this->respondedAt = now; }

    /// Makes closing reset the connection (SO_LINGER of 0 seconds), so that bytes which a network fault has delayed are
    /// never delivered.
    void resetOnClose();

private:
    static void onOutputChanged(evbuffer*, const evbuffer_cb_info*, void*);
    static void onInputChanged(evbuffer*, const evbuffer_cb_info*, void*);

    std::string address;
    std::uint16_t port;
    evhttp_connection* connection;
    evbuffer_cb_entry* outputObserver;
    evbuffer_cb_entry* inputObserver;
    std::function<void()> onBytesArrived;
    bool hasWrittenBytes = false;
    std::optional<Instant> respondedAt;
};

} // namespace Greengage
