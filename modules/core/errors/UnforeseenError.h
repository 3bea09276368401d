#pragma once

#include <core/errors/ErrorEffect.h>
#include <core/errors/WorkKind.h>

#include <string>
#include <utility>
#include <vector>

namespace Greengage {

/// An exception that no code on its way has handled, as an `ErrorBoundary` reports it.
struct UnforeseenError {
    ErrorEffect effect = ErrorEffect::StateInDoubt;
    std::string message;
    /// What was worked on, from the innermost piece of work to the outermost.
    std::vector<std::pair<WorkKind, std::string>> work;

    /// The id of the innermost work of a kind, or an empty string if there was none.
    std::string idOf(WorkKind kind) const
    {
        for (const auto& [workKind, id] : this->work) {
            if (workKind == kind)
                return id;
        }
        return {};
    }
};

} // namespace Greengage
