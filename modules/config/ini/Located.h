#pragma once

namespace Greengage {

/// A value with the line of the text that it was read from, counted from 1.
template <typename Value> struct Located {
    Value value {};
    int line = 0;
};

} // namespace Greengage
