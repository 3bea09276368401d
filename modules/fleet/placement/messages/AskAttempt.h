#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// Ask a worker about an attempt whose lease has expired. The worker reports Running if the attempt runs, repeats its
/// last report if it has ended, answers FailedToStart if it never received the attempt (and never starts it), and
/// Stopped if the attempt belongs to an earlier boot.
struct AskAttempt {
    std::uint64_t attempt = 0;
    WorkerId worker;
    std::uint64_t workerBoot = 0;
};

} // namespace Greengage
