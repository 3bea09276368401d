#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Why a worker gave no report.
enum class WorkerFailure {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another life of the worker, or another worker, answered.
    OtherLife,
    /// It answered that it is unhealthy, or what it answered could not be understood.
    Unhealthy,
    NoAnswer,
};

template <> struct EnumNames<WorkerFailure> {
    static constexpr std::array<std::pair<WorkerFailure, std::string_view>, 4> table { {
        { WorkerFailure::Fenced, "fenced" },
        { WorkerFailure::OtherLife, "other_life" },
        { WorkerFailure::Unhealthy, "unhealthy" },
        { WorkerFailure::NoAnswer, "no_answer" },
    } };
};

} // namespace Greengage
