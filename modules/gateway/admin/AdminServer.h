#pragma once

#include <core/errors/Result.h>
#include <gateway/admin/AdminRequest.h>
#include <gateway/admin/AdminResponse.h>
#include <gateway/http/GatewayError.h>
#include <loop/guard/HttpConnectionGuard.h>
#include <loop/http/OpenRequests.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;
struct evhttp_request;

namespace Greengage {

/// HTTP server of the admin port. Refuses requests without the operators' key and passes the others to the handler,
/// which may answer immediately or later.
class AdminServer {
public:
    /// Answers one request. Has no effect when called again or after the operator has disconnected.
    using Responder = std::function<void(const AdminResponse&)>;

    struct Handlers {
        /// Whether the key in an operator's request is the operators' key.
        std::function<bool(const std::string& key)> isAuthorized;
        std::function<void(const AdminRequest&, Responder)> handle;
        /// A connection was closed to keep the limits.
        std::function<void(CloseReason)> onClosing;
    };

    AdminServer(event_base&, Handlers);
    ~AdminServer();

    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// Whether no request is waiting for an answer.
    bool isIdle() const { return this->openRequests.size() == 0; }

    /// Starts accepting connections. The error names the address that could not be bound, and the reason.
    Result<void, GatewayError> listen(const std::string& address, std::uint16_t port);

private:
    void handleRequest(evhttp_request&);
    void respond(std::uint64_t id, const AdminResponse&);
    void send(evhttp_request&, const AdminResponse&);

    event_base& base;
    Handlers handlers;
    OpenRequests openRequests;
    HttpConnectionGuard guard;
    EventPointer<evhttp> server;
    /// Shared with the responders; set to null on destruction, so that those which outlive the server do nothing.
    std::shared_ptr<AdminServer*> sharedSelf;
};

} // namespace Greengage
