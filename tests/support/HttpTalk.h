#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// An HTTP response as a test sees it.
struct HttpTalkReply {
    /// Whether a connection was made; if not, nothing was sent.
    bool connected = false;
    /// 0 if no whole response came.
    int status = 0;
    std::string head;
    std::string body;

    bool headHas(const std::string& text) const { return this->head.find(text) != std::string::npos; }
};

/// One blocking HTTP exchange on a connection of its own. `headers` are whole lines without their ends.
HttpTalkReply talkHttp(const std::string& address, std::uint16_t port, const std::string& method,
    const std::string& path, const std::vector<std::string>& headers = {}, const std::string& body = {});

} // namespace Greengage
