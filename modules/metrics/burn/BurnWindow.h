#pragma once

#include <core/text/EnumNames.h>
#include <core/time/Instant.h>

namespace Greengage {

/// The sliding windows over which burn rates are reported. Comparing a short window with a long one distinguishes a
/// brief spike from a persistent fault.
enum class BurnWindow {
    FiveMinutes,
    OneHour,
    SixHours,
};

template <> struct EnumNames<BurnWindow> {
    static constexpr std::array<std::pair<BurnWindow, std::string_view>, 3> table { {
        { BurnWindow::FiveMinutes, "5m" },
        { BurnWindow::OneHour, "1h" },
        { BurnWindow::SixHours, "6h" },
    } };
};

constexpr std::size_t burnWindowCount = EnumNames<BurnWindow>::table.size();

constexpr Microseconds lengthOf(BurnWindow window)
{
    switch (window) {
    case BurnWindow::FiveMinutes:
        return std::chrono::minutes(5);
    case BurnWindow::OneHour:
        return std::chrono::hours(1);
    case BurnWindow::SixHours:
        return std::chrono::hours(6);
    }
    return Microseconds::zero();
}

} // namespace Greengage
