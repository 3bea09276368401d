#pragma once

#include <core/time/Instant.h>
#include <tests/takeovers/Process.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace Greengage {

/// The event loop and the clock of all processes of the model. Time passes only from one event to the next.
class VirtualLoop {
public:
    using Action = std::function<void()>;

    static VirtualLoop& shared();

    Instant now() const { return this->instant; }

    /// The process whose event is being handled; null outside of any.
    const std::shared_ptr<Process>& running() const { return this->process; }

    /// Runs the action after the delay, as part of the process, or of none if it is null.
    void schedule(Microseconds delay, std::shared_ptr<Process> owner, Action action);

    /// Runs the action now as part of the process.
    void runAs(const std::shared_ptr<Process>& owner, const Action& action);

    void runFor(Microseconds span);

    /// Drops all events.
    void clear() { this->events.clear(); }

private:
    struct Event {
        std::shared_ptr<Process> owner;
        Action action;
    };

    Instant instant { Seconds(1000) };
    std::uint64_t nextNumber = 0;
    std::shared_ptr<Process> process;
    /// By time, and in the order of scheduling.
    std::map<std::pair<Instant, std::uint64_t>, Event> events;
};

} // namespace Greengage
