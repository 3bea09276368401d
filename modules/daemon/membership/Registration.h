#pragma once

#include <daemon/membership/MemberRecord.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <string>

namespace Greengage {

class StoreClient;

/// Keeps this daemon's member key in the store under a lease, and writes it again after the lease has expired.
class Registration {
public:
    Registration(event_base&, StoreClient&, MemberRecord self);

    void start() { this->step(); }

    /// Deletes the key; `done` is called when the store has answered or is unreachable.
    void deregister(std::function<void()> done);

private:
    void step();
    void grant();
    void write();
    void readBack();
    void renew();
    void scheduleStep(Milliseconds delay) { this->timer.schedule(delay); }

    StoreClient& store;
    MemberRecord self;
    std::string key;
    std::string leaseId;
    /// Version of the stored key; 0 while the key is not known to exist.
    std::uint64_t version = 0;
    bool deregistered = false;
    Timer timer;
};

} // namespace Greengage
