#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

struct evhttp_connection;
struct evhttp_request;

namespace Greengage {

/// The requests of an evhttp server that are answered later than they arrive. A request whose client leaves meanwhile
/// is dropped from the table, since evhttp frees it.
class OpenRequests {
public:
    OpenRequests() = default;
    ~OpenRequests();

    OpenRequests(const OpenRequests&) = delete;
    OpenRequests& operator=(const OpenRequests&) = delete;

    /// Returns the id by which the request is taken again.
    std::uint64_t add(evhttp_request&);

    /// Removes the request, to answer it; null if its client has left or it has been taken.
    evhttp_request* take(std::uint64_t id);

    std::size_t size() const { return this->requests.size(); }

private:
    void dropOf(evhttp_connection*);

    std::unordered_map<std::uint64_t, evhttp_request*> requests;
    std::uint64_t nextId = 1;
};

} // namespace Greengage
