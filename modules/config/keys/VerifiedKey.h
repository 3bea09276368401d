#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// Whose key a caller has shown.
struct KeyHolder {
    KeyId key;
    TeamId team;
};

} // namespace Greengage
