#pragma once

#include <config/acceptance/AcceptedChange.h>
#include <config/acceptance/AlreadyInForce.h>
#include <config/acceptance/SectionConflicts.h>
#include <config/errors/ConfigErrors.h>

#include <variant>

namespace Greengage {

/// What becomes of a submission.
using AcceptanceOutcome = std::variant<AcceptedChange, AlreadyInForce, SectionConflicts, ConfigErrors>;

} // namespace Greengage
