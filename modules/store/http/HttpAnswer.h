#pragma once

#include <store/http/HttpHeader.h>

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// A whole HTTP response.
struct HttpAnswer {
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;

    /// The value of the first header of that name, in any case; empty if there is none.
    std::string_view header(std::string_view name) const;
};

} // namespace Greengage
