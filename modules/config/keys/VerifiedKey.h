#pragma once

#include <core/text/Identifier.h>

namespace Greengage {

/// A key that a caller has presented and that has been verified, with the team that it belongs to.
struct VerifiedKey {
    KeyId key;
    TeamId team;
};

} // namespace Greengage
