#pragma once

#include <core/text/Identifier.h>
#include <core/time/Deadline.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// Sends the request's body to an endpoint. The gateway checks `notAfter` again right before the first byte and reports
/// NotSent if it has passed.
struct SendAttempt {
    RequestId request;
    int attempt = 0;
    VmId endpoint;
    std::string address;
    std::uint16_t port = 0;
    TeamId team;
    /// Last instant at which the first byte may be sent.
    Deadline notAfter;
    /// When the attempt times out and is reported as Silent.
    Deadline answerBy;
    /// Whether a new connection must be opened instead of reusing an idle one.
    bool freshConnection = false;
};

} // namespace Greengage
