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

/// Puts the questions of the advice system to the advice service, a few at a time, and takes the answers in.
template <AdviceService Service> class AdviceKeeper {
public:
    /// `changed` is called when tickets have come.
    AdviceKeeper(Service& service, JobBoard& board, std::function<void()> changed)
        : service(service)
        , system(board)
        , changed(std::move(changed))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~AdviceKeeper() { *this->alive = false; }

    AdviceKeeper(const AdviceKeeper&) = delete;
    AdviceKeeper& operator=(const AdviceKeeper&) = delete;

    /// From now on answers that are still to come change nothing.
    void close() { *this->alive = false; }

    void tick(Instant now)
    {
        while (this->open < questionsAtATime) {
            auto question = this->system.nextQuestion(now, unixMilliseconds());
            if (!question)
                return;
            this->open += 1;
            this->service.ask(*question, [this, alive = this->alive, question = *question](auto result) {
                if (*alive)
                    this->take(question, std::move(result));
            });
        }
    }

private:
    /// The service answers one question of a daemon at a time; a second one waits there, so that it is never idle.
    static constexpr int questionsAtATime = 2;

    void take(const AdviceQuestion& question, Result<AdviceAnswer, AdviceFailure> result)
    {
        this->open -= 1;
        Instant now = BootClock::now();
        if (result.has_value()) {
            this->system.take(question, result.value(), now);
            writeLog(LogLevel::Info,
                LogLine("advice_taken")
                    .add("step", question.step.text())
                    .add("asked", question.workers.size())
                    .add("fit", result.value().fit.size()));
        } else {
            this->system.fail(question, now);
            writeLog(LogLevel::Warning,
                LogLine("advice_missing")
                    .add("step", question.step.text())
                    .add("asked", question.workers.size())
                    .add("reason", nameOf(result.error())));
        }
        this->changed();
    }

    Service& service;
    AdviceSystem system;
    std::function<void()> changed;
    std::shared_ptr<bool> alive;
    int open = 0;
};

} // namespace Greengage
