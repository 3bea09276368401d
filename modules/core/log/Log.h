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

/// Configures the process-wide logger, which writes lines with a UTC time and a level to standard output and drops
/// lines below `level`. Call it once, at startup.
void startLog(LogLevel level);

/// Changes the lowest level that is written.
void setLogLevel(LogLevel level);

/// Writes one log line.
void writeLog(LogLevel level, const LogLine& line);

} // namespace Greengage
