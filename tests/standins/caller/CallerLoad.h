#pragma once

#include <core/errors/Result.h>
#include <core/time/Instant.h>

#include <string>

namespace Greengage {

/// What one group of callers asks of one queue.
struct CallerLoad {
    std::string queue;
    std::string team;
    /// "<name>.<secret>"; empty for work without a key.
    std::string bearer;
    /// Whether the queue's requests may be repeated. Others are sent with an idempotency key.
    bool idempotent = true;
    /// Mean submissions a second.
    double rate = 10;
    /// Mean run time of the work; each submission draws between half and one and a half of it.
    int runMilliseconds = 20;
    Milliseconds deadline { 3000 };
    /// How long a caller waits for one attempt before it tries another daemon; zero to wait out the deadline.
    Milliseconds attemptLimit {};
    std::size_t bodyBytes = 300;
    std::size_t answerBytes = 600;

    /// The key's name without its secret.
    std::string keyName() const { return this->bearer.substr(0, this->bearer.find('.')); }

    /// Reads "queue=quotes team=booking bearer=k.s idempotent=true rate=10 run_ms=20 deadline_ms=3000 attempt_ms=1000";
    /// what is absent keeps its default. The error says what is wrong.
    static Result<CallerLoad, std::string> parse(const std::string& text);
};

} // namespace Greengage
