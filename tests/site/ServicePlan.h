#pragma once

#include <string>

namespace Greengage {

/// One service of a test site with the queue that leads to it.
struct ServicePlan {
    std::string service;
    std::string queue;
    /// Team whose key callers of the queue show; empty for a queue that is open to all.
    std::string team;
    bool idempotent = true;
    int endpoints = 8;
};

} // namespace Greengage
