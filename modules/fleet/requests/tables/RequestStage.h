#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Stages of a request.
enum class RequestStage {
    Waiting,
    /// Its claim is being written to the store.
    Claiming,
    /// An attempt is in progress.
    Sent,
};

template <> struct EnumNames<RequestStage> {
    static constexpr std::array<std::pair<RequestStage, std::string_view>, 3> table { {
        { RequestStage::Waiting, "waiting" },
        { RequestStage::Claiming, "claiming" },
        { RequestStage::Sent, "sent" },
    } };
};

} // namespace Greengage
