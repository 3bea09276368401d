#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What a piece of work is about, for the report of an unforeseen error.
enum class WorkKind {
    Timer,
    Signal,
    /// The answer to a call to another service.
    CallAnswer,
    CallerRequest,
    /// Entries below a prefix of the store.
    StorePrefix,
    StoreEntry,
    Worker,
    Job,
};

template <> struct EnumNames<WorkKind> {
    static constexpr std::array<std::pair<WorkKind, std::string_view>, 8> table { {
        { WorkKind::Timer, "timer" },
        { WorkKind::Signal, "signal" },
        { WorkKind::CallAnswer, "call_answer" },
        { WorkKind::CallerRequest, "caller_request" },
        { WorkKind::StorePrefix, "store_prefix" },
        { WorkKind::StoreEntry, "store_entry" },
        { WorkKind::Worker, "worker" },
        { WorkKind::Job, "job" },
    } };
};

} // namespace Greengage
