#pragma once

#include <core/time/Instant.h>
#include <store/http/HttpHeader.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// An HTTP request for HttpClient::send.
struct HttpRequest {
    /// IP address in text form.
    std::string address;
    std::uint16_t port = 0;
    /// POST if there is a body or `isPost` is set, otherwise GET.
    bool isPost = false;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    /// Limit for the complete exchange, from the call to the last byte of the response.
    Milliseconds timeout { 2000 };
    /// Whether the timeout restarts with each part of the response that arrives, as needed for a long response over a
    /// slow link.
    bool extendsOnProgress = false;
    /// Whether a new connection must be opened instead of reusing an idle one.
    bool freshConnection = false;
};

} // namespace Greengage
