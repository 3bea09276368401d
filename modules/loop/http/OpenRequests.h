#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

struct evhttp_connection;
struct evhttp_request;

namespace Greengage {

/// The requests of an evhttp server that have not been answered yet.
class OpenRequests {
public:
    OpenRequests() = default;

    OpenRequests(const OpenRequests&) = delete;
    OpenRequests& operator=(const OpenRequests&) = delete;

    /// Adds a request and returns its id, to be passed to `take`.
    std::uint64_t add(evhttp_request&);

    /// Removes and returns the request, so that it can be answered. Null if it was taken before or its client has
    /// disconnected.
    evhttp_request* take(std::uint64_t id);

    /// Removes the requests of a connection that is about to be freed, since evhttp frees them.
    void removeRequestsOf(evhttp_connection*);

    std::size_t size() const { return this->requests.size(); }

private:
    std::unordered_map<std::uint64_t, evhttp_request*> requests;
    std::uint64_t nextId = 1;
};

} // namespace Greengage
