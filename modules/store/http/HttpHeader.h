#pragma once

#include <string>

namespace Greengage {

/// One header field of an HTTP message.
struct HttpHeader {
    std::string name;
    std::string value;
};

} // namespace Greengage
