#pragma once

#include <core/text/EnumNames.h>

#include <string_view>

namespace Greengage {

class LogLine;

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

template <> struct EnumNames<LogLevel> {
    static constexpr std::array<std::pair<LogLevel, std::string_view>, 4> table { {
        { LogLevel::Debug, "debug" },
        { LogLevel::Info, "info" },
        { LogLevel::Warning, "warning" },
        { LogLevel::Error, "error" },
    } };
};

/// Sends log lines to standard output with a UTC time and a level, and drops those below `level`. Call it once, at
/// start.
void startLog(LogLevel level);

/// Drops lines below another level from now on.
void setLogLevel(LogLevel level);

/// Writes one event.
void writeLog(LogLevel level, const LogLine& line);

} // namespace Greengage
