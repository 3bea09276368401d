#pragma once

#include <loop/memory/EventDeleter.h>
#include <support/CrowdPlan.h>

#include <memory>
#include <vector>

struct event_base;

namespace Greengage {

/// Connections that send what a plan says as fast as the server takes it, and read nothing. They stay open until the
/// server closes them or the crowd is destroyed.
class Crowd {
public:
    Crowd(event_base&, CrowdPlan);
    ~Crowd();

    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

private:
    class Member;

    CrowdPlan plan;
    std::vector<std::unique_ptr<Member>> members;
};

} // namespace Greengage
