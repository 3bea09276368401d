#pragma once

#include <coordinator/workers/AdviceService.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/time/UnixClock.h>
#include <jobs/systems/AdviceSystem.h>

#include <functional>
#include <memory>
#include <utility>

namespace Greengage {

/// Sends the requests of the advice system to the advice service, a few at a time, and applies the answers.
template <AdviceService Service> class AdviceManager {
public:
    /// `onChange` is called after each answer or failure.
    AdviceManager(Service& service, JobTables& tables, std::function<void()> onChange)
        : service(service)
        , system(tables)
        , onChange(std::move(onChange))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~AdviceManager() { *this->alive = false; }

    AdviceManager(const AdviceManager&) = delete;
    AdviceManager& operator=(const AdviceManager&) = delete;

    /// Ignores all answers that arrive from now on.
    void close() { *this->alive = false; }

    void tick(Instant now)
    {
        while (this->openRequests < maxOpenRequests) {
            auto request = this->system.nextRequest(now, unixMilliseconds());
            if (!request)
                return;
            this->openRequests += 1;
            this->service.ask(*request, [this, alive = this->alive, request = *request](auto result) {
                if (*alive)
                    this->handleAnswer(request, std::move(result));
            });
        }
    }

private:
    /// The service answers one request of a daemon at a time; a second one is queued there, so that it is never idle.
    static constexpr int maxOpenRequests = 2;

    void handleAnswer(const AdviceRequest& request, Result<AdviceAnswer, AdviceFailure> result)
    {
        this->openRequests -= 1;
        Instant now = BootClock::now();
        if (result.has_value()) {
            this->system.handleAnswer(request, result.value(), now);
            writeLog(LogLevel::Info,
                LogLine("advice_received")
                    .add("step", request.step.text())
                    .add("asked", request.workers.size())
                    .add("fit", result.value().tickets.size()));
        } else {
            this->system.handleFailure(request, now);
            writeLog(LogLevel::Warning,
                LogLine("advice_failed")
                    .add("step", request.step.text())
                    .add("asked", request.workers.size())
                    .add("reason", nameOf(result.error())));
        }
        this->onChange();
    }

    Service& service;
    AdviceSystem system;
    std::function<void()> onChange;
    std::shared_ptr<bool> alive;
    int openRequests = 0;
};

} // namespace Greengage
