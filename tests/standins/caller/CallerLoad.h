#pragma once

#include <core/errors/Result.h>
#include <core/time/Instant.h>

#include <string>

namespace Greengage {

/// The requests that one group of callers sends to one queue.
struct CallerLoad {
    std::string queue;
    std::string team;
    /// The API key, "<name>.<secret>"; empty for requests without a key.
    std::string bearer;
    /// Whether the queue's requests are idempotent. Those that are not are sent with an idempotency key.
    bool idempotent = true;
    /// Mean number of submissions per second.
    double rate = 10;
    /// Mean run time of the work. Each submission draws its run time uniformly from half to one and a half times this.
    int runMilliseconds = 20;
    Milliseconds deadline { 3000 };
    /// How long a caller waits for one attempt before it tries another daemon; zero to wait until the deadline. An
    /// attempt that no other can follow before the deadline is waited for like one without a limit.
    Milliseconds attemptLimit {};
    std::size_t bodyBytes = 300;
    std::size_t answerBytes = 600;

    /// The key's name, without its secret.
    std::string keyName() const { return this->bearer.substr(0, this->bearer.find('.')); }

    /// Parses "queue=quotes team=booking bearer=k.s idempotent=true rate=10 run_ms=20 deadline_ms=3000
    /// attempt_ms=1000"; absent fields keep their defaults. The error quotes the text and says what is wrong with it.
    static Result<CallerLoad, std::string> parse(const std::string& text);
};

} // namespace Greengage
