#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// The caller has closed its connection before its answer. Waiting work is dropped; work under way runs on.
struct CallerLeft {
    RequestId request;
};

} // namespace Greengage
