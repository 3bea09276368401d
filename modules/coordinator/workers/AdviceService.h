#pragma once

#include <core/errors/Result.h>
#include <core/text/EnumNames.h>
#include <jobs/model/AdviceAnswer.h>
#include <jobs/model/AdviceRequest.h>

#include <functional>

namespace Greengage {

/// Why the advice service gave no usable answer.
enum class AdviceFailure {
    /// Too many requests are queued at the service.
    Busy,
    NoAnswer,
    /// The answer could not be parsed, or the request was refused.
    Malformed,
};

template <> struct EnumNames<AdviceFailure> {
    static constexpr std::array<std::pair<AdviceFailure, std::string_view>, 3> table { {
        { AdviceFailure::Busy, "busy" },
        { AdviceFailure::NoAnswer, "no_answer" },
        { AdviceFailure::Malformed, "malformed" },
    } };
};

using AdviceCallback = std::function<void(Result<AdviceAnswer, AdviceFailure>)>;

/// Answers which workers may run a step. Each call ends in exactly one callback, from the loop.
template <typename Service>
concept AdviceService = requires(Service& service, const AdviceRequest& request, AdviceCallback callback)
{
    service.ask(request, callback);
};

} // namespace Greengage
