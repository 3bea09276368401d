#pragma once

#include <config/model/DocumentRecord.h>

namespace Greengage {

/// The submission can be put in force: this record is to be written over the one that it was judged against.
struct AcceptedChange {
    DocumentRecord record;
};

} // namespace Greengage
