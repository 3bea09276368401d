#pragma once

#include <string>

namespace Greengage {

/// An authorized request from an operator.
struct AdminRequest {
    bool isPost = false;
    std::string path;
    std::string body;
};

} // namespace Greengage
