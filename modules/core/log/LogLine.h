#pragma once

#include <spdlog/fmt/fmt.h>
#include <string>
#include <string_view>

namespace Greengage {

/// One event as a line of key=value pairs. Values that contain spaces, quotes, equals signs or control characters are
/// quoted and escaped, so that an event never spans several lines and a program can parse it.
class LogLine {
public:
    explicit LogLine(std::string_view event);

    /// Adds one pair. The value may have any type that fmt can format.
    template <typename Value> LogLine&& add(std::string_view key, const Value& value) &&
    {
        this->append(key, fmt::format("{}", value));
        return std::move(*this);
    }

    const std::string& text() const { return this->line; }

private:
    void append(std::string_view key, std::string_view value);

    std::string line;
};

} // namespace Greengage
