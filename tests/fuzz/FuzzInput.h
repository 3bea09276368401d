#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Greengage {

/// The bytes that libFuzzer gives a target, as text.
inline std::string fuzzText(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

/// Ends the process if a property of the target does not hold, which libFuzzer reports with the input.
inline void requireProperty(bool holds)
{
    if (!holds)
        __builtin_trap();
}

} // namespace Greengage
