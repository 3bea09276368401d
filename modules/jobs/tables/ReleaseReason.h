#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// What proves that an attempt does not run any more, so that its task may start again.
enum class ReleaseReason {
    /// No start order was sent.
    NotOrdered,
    /// The worker refused the only start order.
    Refused,
    /// The worker reported the end.
    EndReported,
    /// The worker's report does not list the attempt, and its start order has been answered or has expired.
    NotListed,
    /// The lease under which it ran has expired.
    LeaseExpired,
    /// Its worker has ended with its VM.
    VmEnded,
    /// The incarnation of the worker that ran it has ended.
    IncarnationEnded,
    /// Another worker listens at the address.
    WorkerReplaced,
    /// An earlier leader started it on a worker that is neither in the directory nor on the worker roster.
    WorkerUnknown,
};

template <> struct EnumNames<ReleaseReason> {
    static constexpr std::array<std::pair<ReleaseReason, std::string_view>, 9> table { {
        { ReleaseReason::NotOrdered, "not_ordered" },
        { ReleaseReason::Refused, "refused" },
        { ReleaseReason::EndReported, "end_reported" },
        { ReleaseReason::NotListed, "not_listed" },
        { ReleaseReason::LeaseExpired, "lease_expired" },
        { ReleaseReason::VmEnded, "vm_ended" },
        { ReleaseReason::IncarnationEnded, "incarnation_ended" },
        { ReleaseReason::WorkerReplaced, "worker_replaced" },
        { ReleaseReason::WorkerUnknown, "worker_unknown" },
    } };
};

} // namespace Greengage
