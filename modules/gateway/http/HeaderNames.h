#pragma once

namespace Greengage {

/// Names of the HTTP headers that the protocols with callers and endpoints define.
struct HeaderNames {
    static constexpr const char* request = "Greengage-Request";
    static constexpr const char* attempt = "Greengage-Attempt";
    static constexpr const char* team = "Greengage-Team";
    static constexpr const char* incarnation = "Greengage-Incarnation";
    static constexpr const char* queue = "Greengage-Queue";
    static constexpr const char* endpoint = "Greengage-Endpoint";
    static constexpr const char* outcome = "Greengage-Outcome";
    static constexpr const char* reason = "Greengage-Reason";
    static constexpr const char* timeout = "Greengage-Timeout-Ms";
    static constexpr const char* idempotencyKey = "Idempotency-Key";
};

} // namespace Greengage
