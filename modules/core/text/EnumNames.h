#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace Greengage {

/// The table of names of one `enum class`. Specialise it beside the enumeration with a static constexpr member `table`
/// of `std::array<std::pair<Enum, std::string_view>, N>`.
template <typename Enum> struct EnumNames;

/// An enumeration that has a table of names.
template <typename Enum>
concept NamedEnum = requires
{
    EnumNames<Enum>::table.size();
};

/// The name of an enumerator, or "?" for a value outside the table.
template <NamedEnum Enum> constexpr std::string_view nameOf(Enum value)
{
    for (const auto& [enumerator, name] : EnumNames<Enum>::table) {
        if (enumerator == value)
            return name;
    }
    return "?";
}

/// The enumerator with the given name, or nothing.
template <NamedEnum Enum> constexpr std::optional<Enum> enumFromName(std::string_view text)
{
    for (const auto& [enumerator, name] : EnumNames<Enum>::table) {
        if (name == text)
            return enumerator;
    }
    return std::nullopt;
}

} // namespace Greengage
