#pragma once

#include <core/errors/Result.h>
#include <core/text/EnumNames.h>
#include <jobs/model/VmInfo.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Greengage {

/// The result of an order to a VM.
enum class VmOrderOutcome {
    /// The order is being carried out, or was carried out before.
    Accepted,
    /// The VM is not up, or is shutting down.
    Busy,
    /// The VM has had orders under a higher fencing token.
    Fenced,
    /// The VM does not belong to the wave, or the pool cannot take it.
    Refused,
    /// There is no such VM. Only orders for maintenance tell.
    NoSuchVm,
    /// Too many calls, or the service is unavailable; nothing was done.
    Unavailable,
    /// The order may have been carried out.
    NoAnswer,
};

template <> struct EnumNames<VmOrderOutcome> {
    static constexpr std::array<std::pair<VmOrderOutcome, std::string_view>, 7> table { {
        { VmOrderOutcome::Accepted, "accepted" },
        { VmOrderOutcome::Busy, "busy" },
        { VmOrderOutcome::Fenced, "fenced" },
        { VmOrderOutcome::Refused, "refused" },
        { VmOrderOutcome::NoSuchVm, "no_such_vm" },
        { VmOrderOutcome::Unavailable, "unavailable" },
        { VmOrderOutcome::NoAnswer, "no_answer" },
    } };
};

using VmListCallback = std::function<void(Result<std::vector<VmInfo>, VmOrderOutcome>)>;
using VmOrderCallback = std::function<void(VmOrderOutcome)>;

/// Lists the fleet's VMs and sends orders to them. Each call ends in exactly one callback, from the loop.
template <typename Service>
concept VmService = requires(Service& service, const VmId& vm, const PoolId& pool, std::int64_t number,
    VmListCallback onListed, VmOrderCallback onAnswered)
{
    service.list(onListed);
    service.beginMaintenance(vm, number, number, onAnswered);
    service.move(vm, pool, number, onAnswered);
};

} // namespace Greengage
