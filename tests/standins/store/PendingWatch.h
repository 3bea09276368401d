#pragma once

#include <core/time/Deadline.h>

#include <cstdint>
#include <string>
#include <vector>

struct evhttp_request;

namespace Greengage {

/// A watch request that has not been answered yet.
struct PendingWatch {
    evhttp_request* request = nullptr;
    std::vector<std::string> prefixes;
    std::uint64_t afterRevision = 0;
    Deadline deadline;
};

} // namespace Greengage
