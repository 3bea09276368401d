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

/// Sends the questions of the advice system to the advice service, a few at a time, and applies the answers.
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
        while (this->openQuestions < maxOpenQuestions) {
            auto question = this->system.nextQuestion(now, unixMilliseconds());
            if (!question)
                return;
            this->openQuestions += 1;
            this->service.ask(*question, [this, alive = this->alive, question = *question](auto result) {
                if (*alive)
                    this->handleAnswer(question, std::move(result));
            });
        }
    }

private:
    /// The service answers one question of a daemon at a time; a second one is queued there, so that it is never idle.
    static constexpr int maxOpenQuestions = 2;

    void handleAnswer(const AdviceRequest& question, Result<AdviceAnswer, AdviceFailure> result)
    {
        this->openQuestions -= 1;
        Instant now = BootClock::now();
        if (result.has_value()) {
            this->system.take(question, result.value(), now);
            writeLog(LogLevel::Info,
                LogLine("advice_received")
                    .add("step", question.step.text())
                    .add("asked", question.workers.size())
                    .add("fit", result.value().fit.size()));
        } else {
            this->system.fail(question, now);
            writeLog(LogLevel::Warning,
                LogLine("advice_failed")
                    .add("step", question.step.text())
                    .add("asked", question.workers.size())
                    .add("reason", nameOf(result.error())));
        }
        this->onChange();
    }

    Service& service;
    AdviceSystem system;
    std::function<void()> onChange;
    std::shared_ptr<bool> alive;
    int openQuestions = 0;
};

} // namespace Greengage
