#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Greengage {

/// Converts the bytes that libFuzzer passes to a target into text.
inline std::string inputText(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

/// Traps if a property of the target does not hold, so that libFuzzer reports the input as a crash.
inline void requireProperty(bool holds)
{
    if (!holds)
        __builtin_trap();
}

} // namespace Greengage
