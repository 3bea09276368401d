#pragma once

#include <core/text/Identifier.h>
#include <gateway/endpoints/EndpointAddress.h>
#include <gateway/endpoints/EndpointAnswer.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

struct event_base;

namespace Greengage {

class EndpointConnection;
struct AskRunning;
struct AttemptEnded;
struct ExchangeRequest;
struct ExchangeResult;
struct RunningReported;
struct SendAttempt;

/// Sends attempts to endpoints over HTTP connections that it keeps and reuses. Every attempt ends in exactly one call
/// of `attemptEnded`, from the loop and never from within `send`. A connection whose exchange did not complete, or
/// whose answer was not for the request sent, is closed and never used again.
class EndpointClient {
public:
    /// An attempt has ended. The answer is filled for AttemptResult::Answered only.
    using AttemptCallback = std::function<void(const AttemptEnded&, EndpointAnswer)>;
    using RunningCallback = std::function<void(RunningReported)>;

    /// `sourceAddress` is the local address that connections are bound to.
    EndpointClient(event_base&, std::string sourceAddress, IncarnationId self);
    ~EndpointClient();

    EndpointClient(const EndpointClient&) = delete;
    EndpointClient& operator=(const EndpointClient&) = delete;

    void send(const SendAttempt&, const QueueId&, const std::string& body, AttemptCallback attemptEnded);

    /// Asks an endpoint what it is running. Calls back only if it answers in time with a well-formed list.
    void askRunning(const AskRunning&, RunningCallback reported);

    /// How many exchanges are under way.
    std::size_t active() const { return this->busy.size(); }

    /// How many connections to an endpoint are open, resting ones included.
    std::size_t connectionsTo(const EndpointAddress&) const;

private:
    using ExchangeCallback = std::function<void(ExchangeResult)>;
    using ConnectionPointer = std::unique_ptr<EndpointConnection>;

    void exchange(const EndpointAddress&, bool freshConnection, const ExchangeRequest&, ExchangeCallback);
    ConnectionPointer takeConnection(const EndpointAddress&, bool freshConnection);
    void release(std::uint64_t exchange, bool keep);
    void retire(ConnectionPointer);
    void closeExpired();

    event_base& base;
    std::string sourceAddress;
    IncarnationId self;
    std::uint64_t nextExchange = 1;
    std::unordered_map<std::uint64_t, ConnectionPointer> busy;
    std::map<EndpointAddress, std::size_t> busyAt;
    std::map<EndpointAddress, std::vector<ConnectionPointer>> idle;
    /// Connections to be closed from a clean stack.
    std::vector<ConnectionPointer> retired;
    Timer cleanup;
    Timer sweep;
};

} // namespace Greengage
