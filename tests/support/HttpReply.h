#pragma once

#include <string>

namespace Greengage {

/// An HTTP response as received by a test.
struct HttpReply {
    /// Whether a connection was established; if not, nothing was sent.
    bool connected = false;
    /// 0 if no complete response arrived.
    int status = 0;
    std::string head;
    std::string body;

    bool headHas(const std::string& text) const { return this->head.find(text) != std::string::npos; }
};

} // namespace Greengage
