#pragma once

#include <core/time/Instant.h>

#include <string>

namespace Greengage {

/// A caller has sent one attempt of a submission: "event=invoke".
struct InvokeEvent {
    /// Names the attempt.
    std::string call;
    /// Names what the caller wants done; its attempts share it.
    std::string submission;
    std::string queue;
    /// Team of the key; empty for work without a key.
    std::string team;
    std::string key;
    /// Idempotency key; empty on idempotent queues.
    std::string idempotencyKey;
    Instant at;
};

} // namespace Greengage
