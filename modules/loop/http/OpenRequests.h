#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

struct evhttp_connection;
struct evhttp_request;

namespace Greengage {

/// The requests of an evhttp server that have not been answered yet. When a client disconnects before that, its request
/// is removed, since evhttp frees it.
class OpenRequests {
public:
    OpenRequests() = default;
    ~OpenRequests();

    OpenRequests(const OpenRequests&) = delete;
    OpenRequests& operator=(const OpenRequests&) = delete;

    /// Adds a request and returns its id, to be passed to `take`.
    std::uint64_t add(evhttp_request&);

    /// Removes and returns the request, so that it can be answered. Null if it was taken before or its client has
    /// disconnected.
    evhttp_request* take(std::uint64_t id);

    std::size_t size() const { return this->requests.size(); }

private:
    void removeRequestsOf(evhttp_connection*);

    std::unordered_map<std::uint64_t, evhttp_request*> requests;
    std::uint64_t nextId = 1;
};

} // namespace Greengage
