#pragma once

#include <config/model/DocumentRecord.h>

namespace Greengage {

/// The submission is valid: `record` is to replace the record that the submission was evaluated against.
struct AcceptedChange {
    DocumentRecord record;
};

} // namespace Greengage
