#pragma once

#include <core/time/Deadline.h>
#include <store/http/HttpHeader.h>

#include <string>
#include <vector>

namespace Greengage {

/// One HTTP request to an endpoint.
struct ExchangeRequest {
    bool isPost = false;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    /// Last instant at which the first byte may be sent.
    Deadline notAfter;
    /// Last instant at which the complete answer may arrive.
    Deadline answerBy;
};

} // namespace Greengage
