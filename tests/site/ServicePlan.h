#pragma once

#include <string>

namespace Greengage {

/// One service of a test site and the queue whose work it runs.
struct ServicePlan {
    std::string service;
    std::string queue;
    /// Team whose key the callers of the queue send; empty for a queue with open access.
    std::string team;
    bool idempotent = true;
    int endpoints = 8;
};

} // namespace Greengage
