#pragma once

#include <config/acceptance/AlreadyInForce.h>
#include <config/acceptance/SectionConflicts.h>
#include <config/errors/ConfigErrors.h>
#include <config/model/DocumentRecord.h>
#include <daemon/admin/SubmissionFailure.h>

#include <variant>

namespace Greengage {

/// What became of a submission: the record that holds it, a revision that held it already, or why it was not accepted.
using SubmissionEnd = std::variant<DocumentRecord, AlreadyInForce, SectionConflicts, ConfigErrors, SubmissionFailure>;

} // namespace Greengage
