#pragma once

#include <core/time/Deadline.h>
#include <json/value.h>

#include <deque>

namespace Greengage {

/// The platform's list of VMs. Changes become visible after a delay.
class VmList {
public:
    /// Sets the array that becomes visible `lag` after `now`.
    void set(const Json::Value& vms, Milliseconds lag, Instant now)
    {
        this->upcoming.push_back({ Deadline::after(now, lag), vms });
    }

    /// The array that is visible at `now`.
    const Json::Value& visible(Instant now)
    {
        while (!this->upcoming.empty() && this->upcoming.front().visibleFrom.hasPassed(now)) {
            this->current = this->upcoming.front().vms;
            this->upcoming.pop_front();
        }
        return this->current;
    }

private:
    struct Update {
        Deadline visibleFrom;
        Json::Value vms;
    };

    Json::Value current = Json::arrayValue;
    std::deque<Update> upcoming;
};

} // namespace Greengage
