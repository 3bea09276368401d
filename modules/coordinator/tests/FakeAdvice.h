#pragma once

#include <coordinator/tests/After.h>
#include <coordinator/workers/AdviceService.h>

#include <cstddef>
#include <set>

namespace Greengage {

/// A stand-in for the advice service.
class FakeAdvice {
public:
    explicit FakeAdvice(event_base& base)
        : base(base)
    {
    }

    /// Workers that may run every step.
    std::set<WorkerId> fit;
    /// How many of the next requests are refused.
    int refuse = 0;
    std::size_t requests = 0;

    void ask(const AdviceRequest& request, AdviceCallback callback)
    {
        this->requests += 1;
        if (this->refuse > 0) {
            this->refuse -= 1;
            after(this->base, Milliseconds(1), [callback = std::move(callback)] { callback(AdviceFailure::Busy); });
            return;
        }
        AdviceAnswer answer;
        answer.validFor = Milliseconds(3000);
        for (const auto& worker : request.workers) {
            if (this->fit.contains(worker))
                answer.tickets.emplace(worker, "ticket for " + worker.string());
        }
        after(this->base, Milliseconds(5), [callback = std::move(callback), answer] { callback(answer); });
    }

private:
    event_base& base;
};

} // namespace Greengage
