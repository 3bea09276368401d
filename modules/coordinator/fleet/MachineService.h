#pragma once

#include <core/errors/Result.h>
#include <core/text/EnumNames.h>
#include <jobs/model/MachineFacts.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Greengage {

/// The result of an order to a VM.
enum class MachineOutcome {
    /// The order is being carried out, or was carried out before.
    Taken,
    /// The VM is not up, or is shutting down.
    Busy,
    /// The VM has had orders under a higher fencing token.
    Fenced,
    /// The VM does not belong to the wave, or does not exist.
    Refused,
    /// Too many calls, or the service is unavailable; nothing was done.
    Unavailable,
    /// The order may have been carried out.
    NoAnswer,
};

template <> struct EnumNames<MachineOutcome> {
    static constexpr std::array<std::pair<MachineOutcome, std::string_view>, 6> table { {
        { MachineOutcome::Taken, "taken" },
        { MachineOutcome::Busy, "busy" },
        { MachineOutcome::Fenced, "fenced" },
        { MachineOutcome::Refused, "refused" },
        { MachineOutcome::Unavailable, "unavailable" },
        { MachineOutcome::NoAnswer, "no_answer" },
    } };
};

using MachineListCallback = std::function<void(Result<std::vector<MachineFacts>, MachineOutcome>)>;
using MachineOrderCallback = std::function<void(MachineOutcome)>;

/// Lists the fleet's VMs and sends orders to them. Each call ends in exactly one callback, from the loop.
template <typename Service>
concept MachineService = requires(Service& service, const VmId& machine, const PoolId& pool, std::int64_t number,
    MachineListCallback onListed, MachineOrderCallback onAnswered)
{
    service.list(onListed);
    service.beginUpkeep(machine, number, number, onAnswered);
    service.move(machine, pool, number, onAnswered);
};

} // namespace Greengage
