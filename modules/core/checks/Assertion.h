#pragma once

namespace Greengage {

/// Writes the violated invariant and its source location to standard error and aborts the process.
[[noreturn]] void reportInvariantViolation(const char* condition, const char* file, int line);

/// Checks an invariant in every build type and aborts the process if it does not hold. Use it only for conditions that
/// a defect in this program can violate; report invalid external input as an error instead.
inline void assertInvariant(
    bool holds, const char* condition, const char* file = __builtin_FILE(), int line = __builtin_LINE())
{
    if (!holds) [[unlikely]]
        reportInvariantViolation(condition, file, line);
}

} // namespace Greengage
