#pragma once

namespace Greengage {

/// A value together with the line of the text that it stands on, from 1.
template <typename Value> struct Located {
    Value value {};
    int line = 0;
};

} // namespace Greengage
