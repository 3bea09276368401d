#pragma once

#include <core/text/Identifier.h>

#include <cstdint>

namespace Greengage {

/// Tell a worker to end an attempt gracefully. With `checkpoint` it saves the attempt's work first. For an attempt that
/// it does not run, the worker answers as to AskAttempt.
struct StopTask {
    std::uint64_t attempt = 0;
    WorkerId worker;
    std::uint64_t workerBoot = 0;
    bool checkpoint = true;
};

} // namespace Greengage
