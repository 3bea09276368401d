#include <core/log/Log.h>

#include <core/log/BoundedSink.h>
#include <core/log/LogLine.h>

#include <memory>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace Greengage {

namespace {

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

} // namespace

void startLog(LogLevel level)
{
    auto logger = std::make_shared<spdlog::logger>("greengage", std::make_shared<BoundedSink>(STDOUT_FILENO));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->set_level(toSpdlog(level));
    logger->flush_on(spdlog::level::debug);
    spdlog::set_default_logger(logger);
}

void setLogLevel(LogLevel level) { spdlog::default_logger_raw()->set_level(toSpdlog(level)); }

void writeLog(LogLevel level, const LogLine& line)
{
    spdlog::default_logger_raw()->log(toSpdlog(level), "{}", line.text());
}

} // namespace Greengage
