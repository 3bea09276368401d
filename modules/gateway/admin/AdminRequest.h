#pragma once

#include <string>

namespace Greengage {

/// An operator's request whose key has been accepted.
struct AdminRequest {
    bool isPost = false;
    std::string path;
    std::string body;
};

} // namespace Greengage
