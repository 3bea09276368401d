#include <loop/http/OpenRequests.h>

#include <event2/http.h>

namespace Greengage {

std::uint64_t OpenRequests::add(evhttp_request& request)
{
    std::uint64_t id = this->nextId++;
    this->requests[id] = &request;
    return id;
}

evhttp_request* OpenRequests::take(std::uint64_t id)
{
    auto found = this->requests.find(id);
    if (found == this->requests.end())
        return nullptr;
    evhttp_request* request = found->second;
    this->requests.erase(found);
    return request;
}

void OpenRequests::removeRequestsOf(evhttp_connection* connection)
{
    std::erase_if(this->requests,
        [connection](const auto& entry) { return evhttp_request_get_connection(entry.second) == connection; });
}

} // namespace Greengage
