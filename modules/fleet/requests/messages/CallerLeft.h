#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// The caller closed its connection before it was answered. A waiting request is dropped; a running one continues.
struct CallerLeft {
    RequestId request;
};

} // namespace Greengage
