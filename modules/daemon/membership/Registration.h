#pragma once

#include <daemon/membership/MemberRecord.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <string>

namespace Greengage {

class StoreClient;

/// Keeps this daemon's member key in the store under a lease, and writes it anew when the lease has lapsed.
class Registration {
public:
    Registration(event_base&, StoreClient&, MemberRecord self);

    void start() { this->step(); }

    /// Deletes the key; `done` is called when the store has answered or could not be reached.
    void withdraw(std::function<void()> done);

private:
    void step();
    void grant();
    void write();
    void readBack();
    void renew();
    void later(Milliseconds delay) { this->timer.schedule(delay); }

    StoreClient& store;
    MemberRecord self;
    std::string key;
    std::string leaseId;
    /// Version of our key; 0 while it is not known to stand.
    std::uint64_t version = 0;
    bool withdrawn = false;
    Timer timer;
};

} // namespace Greengage
