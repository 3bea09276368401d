#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct event_base;
struct evhttp_connection;

namespace Greengage {

/// An evhttp client connection that notes whether any byte of the current request has been written to its socket, and
/// tells when bytes arrive.
class HttpConnection {
public:
    HttpConnection(event_base&, const std::string& sourceAddress, std::string address, std::uint16_t port);
    ~HttpConnection();

    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    evhttp_connection* handle() const { return this->connection; }
    const std::string& remoteAddress() const { return this->address; }
    std::uint16_t remotePort() const { return this->port; }

    /// Forgets what has been written for earlier requests. `arrived` is called whenever bytes of the answer arrive.
    void startRequest(std::function<void()> arrived)
    {
        this->written = false;
        this->arrived = std::move(arrived);
    }
    bool hasWritten() const { return this->written; }

    /// Has the connection reset instead of closed, so that bytes which a broken network holds up are never delivered.
    void abort();

private:
    static void outputChanged(evbuffer*, const evbuffer_cb_info*, void*);
    static void inputChanged(evbuffer*, const evbuffer_cb_info*, void*);

    std::string address;
    std::uint16_t port;
    evhttp_connection* connection;
    evbuffer_cb_entry* outputObserver;
    evbuffer_cb_entry* inputObserver;
    std::function<void()> arrived;
    bool written = false;
};

} // namespace Greengage
