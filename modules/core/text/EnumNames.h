#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace Greengage {

/// The table of enumerator names of one `enum class`. Specialise it next to the enumeration with a static constexpr
/// member `table` of type `std::array<std::pair<Enum, std::string_view>, N>`.
template <typename Enum> struct EnumNames;

/// An enumeration that has a table of names.
template <typename Enum>
concept NamedEnum = requires
{
    EnumNames<Enum>::table.size();
};

/// Returns the name of an enumerator, or "?" for a value that is not in the table.
template <NamedEnum Enum> constexpr std::string_view nameOf(Enum value)
{
    for (const auto& [enumerator, name] : EnumNames<Enum>::table) {
        if (enumerator == value)
            return name;
    }
    return "?";
}

/// Returns the enumerator with the given name, or nullopt if there is none.
template <NamedEnum Enum> constexpr std::optional<Enum> enumFromName(std::string_view text)
{
    for (const auto& [enumerator, name] : EnumNames<Enum>::table) {
        if (name == text)
            return enumerator;
    }
    return std::nullopt;
}

} // namespace Greengage
