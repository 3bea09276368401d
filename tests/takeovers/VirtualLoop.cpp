#include <tests/takeovers/VirtualLoop.h>

#include <algorithm>

namespace Greengage {

VirtualLoop& VirtualLoop::shared()
{
    static VirtualLoop loop;
    return loop;
}

void VirtualLoop::schedule(Microseconds delay, std::shared_ptr<Process> owner, Action action)
{
    Instant due = this->instant + std::max(delay, Microseconds::zero());
    this->events.emplace(std::pair(due, this->nextNumber++), Event { std::move(owner), std::move(action) });
}

void VirtualLoop::runAs(const std::shared_ptr<Process>& owner, const Action& action)
{
    auto outer = std::exchange(this->process, owner);
    action();
    this->process = std::move(outer);
}

void VirtualLoop::runFor(Microseconds span)
{
    Instant end = this->instant + span;
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
        auto node = this->events.extract(this->events.begin());
        this->instant = std::max(this->instant, node.key().first);
        const auto& owner = node.mapped().owner;
        if (owner && owner->isKilled)
            continue;
        if (owner && owner->isFrozen(this->instant)) {
            // A new number keeps the order in which the events were due.
            node.key() = { owner->frozenUntil, this->nextNumber++ };
            this->events.insert(std::move(node));
            continue;
        }
        this->runAs(owner, node.mapped().action);
    }
    this->instant = end;
}

} // namespace Greengage
