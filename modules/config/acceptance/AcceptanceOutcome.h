#pragma once

#include <config/acceptance/AcceptedChange.h>
#include <config/acceptance/AlreadyInForce.h>
#include <config/acceptance/SectionConflicts.h>
#include <config/errors/ConfigErrors.h>

#include <variant>

namespace Greengage {

/// The result of evaluating a submission.
using AcceptanceOutcome = std::variant<AcceptedChange, AlreadyInForce, SectionConflicts, ConfigErrors>;

} // namespace Greengage
