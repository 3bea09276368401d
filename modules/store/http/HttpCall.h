#pragma once

#include <core/time/Instant.h>
#include <store/http/HttpHeader.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// One HTTP request to be sent by an HttpClient.
struct HttpCall {
    /// IP address in text form.
    std::string address;
    std::uint16_t port = 0;
    /// POST if there is a body or `post` is set, otherwise GET.
    bool post = false;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    /// Time for the whole exchange, from the call to the last byte of the answer.
    Milliseconds timeout { 2000 };
    /// Whether the timeout begins anew with each part of the answer that arrives, as a long answer on a narrow link
    /// needs.
    bool extendsOnProgress = false;
    /// Whether a new connection must be opened, rather than an idle one reused.
    bool freshConnection = false;
};

} // namespace Greengage
