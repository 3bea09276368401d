#pragma once

#include <string>

struct evhttp_request;

namespace Greengage {

/// Work that an endpoint is running.
struct RunningJob {
    std::string request;
    std::string team;
    std::string incarnation;
    std::string call;
    std::string body;
    /// The request to answer; null once its connection is closed.
    evhttp_request* exchange = nullptr;
};

} // namespace Greengage
