#pragma once

#include <cstdint>
#include <functional>
#include <string>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace Greengage {

class Loop;

/// An HTTP server on one address whose listening socket can be closed and reopened.
class HttpService {
public:
    using Handler = std::function<void(evhttp_request*)>;

    HttpService(Loop&, std::string address, std::uint16_t port, Handler);
    ~HttpService();

    HttpService(const HttpService&) = delete;
    HttpService& operator=(const HttpService&) = delete;

    /// Returns whether the address could be bound; true if the service is listening already.
    bool listen();

    /// Refuses new connections until `listen` is called again. Open connections stay open.
    void stopListening();

private:
    static void handle(evhttp_request*, void*);

    std::string address;
    std::uint16_t port;
    Handler handler;
    evhttp* server;
    evhttp_bound_socket* socket = nullptr;
};

} // namespace Greengage
