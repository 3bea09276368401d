#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// The caller closed its connection before it was answered. A waiting request is dropped; a running one continues.
struct CallerDisconnected {
    RequestId request;
};

} // namespace Greengage
