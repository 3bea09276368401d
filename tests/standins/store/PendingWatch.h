#pragma once

#include <core/time/Deadline.h>

#include <cstdint>
#include <string>
#include <vector>

struct evhttp_request;

namespace Greengage {

/// A watch that waits for a change.
struct PendingWatch {
    evhttp_request* request = nullptr;
    std::vector<std::string> prefixes;
    std::uint64_t afterRevision = 0;
    Deadline deadline;
};

} // namespace Greengage
