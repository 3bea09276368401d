#pragma once

#include <core/time/Deadline.h>
#include <json/value.h>

#include <deque>

namespace Greengage {

/// The platform's list of VMs, shown with a lag.
class VmList {
public:
    /// The array shown from `lag` after `now` on.
    void set(const Json::Value& vms, Milliseconds lag, Instant now)
    {
        this->upcoming.push_back({ Deadline::after(now, lag), vms });
    }

    /// The array that is shown at `now`.
    const Json::Value& shown(Instant now)
    {
        while (!this->upcoming.empty() && this->upcoming.front().shownFrom.hasPassed(now)) {
            this->current = this->upcoming.front().vms;
            this->upcoming.pop_front();
        }
        return this->current;
    }

private:
    struct Update {
        Deadline shownFrom;
        Json::Value vms;
    };

    Json::Value current = Json::arrayValue;
    std::deque<Update> upcoming;
};

} // namespace Greengage
