#pragma once

#include <store/http/HttpHeader.h>

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// A complete HTTP response.
struct HttpResponse {
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;

    /// The value of the first header with that name, ignoring case; empty if there is none.
    std::string_view header(std::string_view name) const;
};

} // namespace Greengage
