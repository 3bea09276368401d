#pragma once

namespace Greengage {

/// Ends the process with a message that names the broken invariant and where it was checked.
[[noreturn]] void reportBrokenInvariant(const char* condition, const char* file, int line);

/// Checks an invariant of the program itself, in every build. Use it for what only a defect in this program can break;
/// input from outside is refused with an error instead.
inline void assertInvariant(
    bool holds, const char* condition, const char* file = __builtin_FILE(), int line = __builtin_LINE())
{
    if (!holds) [[unlikely]]
        reportBrokenInvariant(condition, file, line);
}

} // namespace Greengage
