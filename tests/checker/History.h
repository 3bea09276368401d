#pragma once

#include <checker/AnswerEvent.h>
#include <checker/InvokeEvent.h>
#include <checker/OperatorEvent.h>
#include <checker/WorkEvent.h>

#include <vector>

namespace Greengage {

/// The events that callers, endpoints, operators and the platform recorded in one run.
struct History {
    std::vector<InvokeEvent> invokes;
    std::vector<AnswerEvent> answers;
    std::vector<WorkEvent> work;
    std::vector<OperatorEvent> changes;
};

} // namespace Greengage
