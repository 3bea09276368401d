#pragma once

#include <core/time/Instant.h>

namespace Greengage {

/// A running estimate of the median time that answers of one queue take, from the sending of a request.
class RunTimeEstimate {
public:
    void add(Microseconds);
    /// Takes an attempt that had not been answered after the given time.
    void addUnanswered(Microseconds);
    /// Zero until the first answer.
    Microseconds median() const { return this->estimate; }

private:
    Microseconds estimate {};
};

} // namespace Greengage
