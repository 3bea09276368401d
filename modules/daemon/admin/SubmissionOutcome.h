#pragma once

#include <config/acceptance/AlreadyInForce.h>
#include <config/acceptance/SectionConflicts.h>
#include <config/errors/ConfigErrors.h>
#include <config/model/DocumentRecord.h>
#include <daemon/admin/SubmissionFailure.h>

#include <variant>

namespace Greengage {

/// The outcome of a submission: the stored record, the revision that already contains it, or why it was not accepted.
using SubmissionOutcome
    = std::variant<DocumentRecord, AlreadyInForce, SectionConflicts, ConfigErrors, SubmissionFailure>;

} // namespace Greengage
