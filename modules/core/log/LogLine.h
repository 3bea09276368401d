#pragma once

#include <spdlog/fmt/fmt.h>
#include <string>
#include <string_view>

namespace Greengage {

/// One event as a line of key=value pairs. A value with spaces, quotes, equals signs or control characters is quoted
/// and escaped, so that a line is always one line and can be split by a program.
class LogLine {
public:
    explicit LogLine(std::string_view event);

    /// Adds one pair. The value is whatever fmt can print.
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
