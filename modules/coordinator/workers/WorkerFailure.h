#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Why a lease renewal brought no report from a worker.
enum class WorkerFailure {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation of the worker, or another worker, answered.
    OtherIncarnation,
    /// The worker answered that it is unhealthy, or its answer could not be parsed.
    Unhealthy,
    NoAnswer,
    /// No connection was established, so the call was not sent.
    NotConnected,
};

template <> struct EnumNames<WorkerFailure> {
    static constexpr std::array<std::pair<WorkerFailure, std::string_view>, 5> table { {
        { WorkerFailure::Fenced, "fenced" },
        { WorkerFailure::OtherIncarnation, "other_incarnation" },
        { WorkerFailure::Unhealthy, "unhealthy" },
        { WorkerFailure::NoAnswer, "no_answer" },
        { WorkerFailure::NotConnected, "not_connected" },
    } };
};

} // namespace Greengage
