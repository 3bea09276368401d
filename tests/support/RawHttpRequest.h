#pragma once

#include <cstdint>
#include <string>
#include <vector>

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

/// Sends one HTTP request on a new connection and blocks until the response is complete or 60 seconds pass without
/// data. `headers` are header lines without line ends.
HttpReply sendHttpRequest(const std::string& address, std::uint16_t port, const std::string& method,
    const std::string& path, const std::vector<std::string>& headers = {}, const std::string& body = {});

} // namespace Greengage
