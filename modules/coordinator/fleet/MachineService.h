#pragma once

#include <core/errors/Result.h>
#include <core/text/EnumNames.h>
#include <jobs/model/MachineFacts.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Greengage {

/// What came of an order to a VM.
enum class MachineOutcome {
    /// It is being done, or was done before.
    Taken,
    /// The VM is not up, or is leaving.
    Busy,
    /// The VM has had orders under a higher token.
    Fenced,
    /// The VM is not of the wave, or does not exist.
    Refused,
    /// Too many calls, or the service is out; nothing was done.
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

/// Lists the fleet's VMs and carries orders to them. Each call ends in exactly one callback, from the loop.
template <typename Service>
concept MachineService = requires(Service& service, const VmId& machine, const PoolId& pool, std::int64_t number,
    MachineListCallback listed, MachineOrderCallback done)
{
    service.list(listed);
    service.beginUpkeep(machine, number, number, done);
    service.move(machine, pool, number, done);
};

} // namespace Greengage
