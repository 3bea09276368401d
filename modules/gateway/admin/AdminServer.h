#pragma once

#include <core/errors/Result.h>
#include <gateway/admin/AdminRequest.h>
#include <gateway/admin/AdminResponse.h>
#include <gateway/callers/ConnectionLimiter.h>
#include <gateway/http/GatewayError.h>
#include <loop/http/OpenRequests.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;
struct evhttp_request;

namespace Greengage {

/// Serves operators over HTTP. Requests without the operators' key are refused here; the others go to the handler,
/// which answers at once or later.
class AdminServer {
public:
    /// Answers one request; calling it more than once, or after the operator has left, does nothing.
    using Responder = std::function<void(const AdminResponse&)>;

    struct Handlers {
        /// Whether a key that an operator has shown is the right one.
        std::function<bool(const std::string& key)> isAuthorized;
        std::function<void(const AdminRequest&, Responder)> handle;
    };

    AdminServer(event_base&, Handlers);
    ~AdminServer();

    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// Whether no operator waits for an answer.
    bool isIdle() const { return this->open.size() == 0; }

    Result<void, GatewayError> listen(const std::string& address, std::uint16_t port);

private:
    void handleRequest(evhttp_request&);
    void respond(std::uint64_t id, const AdminResponse&);
    void send(evhttp_request&, const AdminResponse&);

    event_base& base;
    Handlers handlers;
    ConnectionLimiter limiter;
    EventPointer<evhttp> server;
    OpenRequests open;
    /// Lets responders that outlive the server do nothing.
    std::shared_ptr<AdminServer*> self;
};

} // namespace Greengage
