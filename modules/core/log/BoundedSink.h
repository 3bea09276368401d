#pragma once

#include <core/time/Deadline.h>

#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace Greengage {

/// Writes log lines to a file descriptor without blocking. Lines that the descriptor does not accept, and informational
/// lines above a rate limit, are dropped and counted; a later line reports the count.
class BoundedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    /// Limits the cost of logging under load. A daemon that places a burst of tasks writes about half as many lines.
    static constexpr std::uint32_t maxInformationalLinesPerSecond = 1000;

    explicit BoundedSink(int descriptor)
        : descriptor(descriptor)
    {
    }

protected:
    void sink_it_(const spdlog::details::log_msg&) override; // NOLINT(readability-identifier-naming): spdlog's name
    void flush_() override { } // NOLINT(readability-identifier-naming): spdlog's name

private:
    bool write(const char* data, std::size_t size) const;
    void reportDroppedLines();

    int descriptor;
    Deadline currentSecondEnd;
    std::uint32_t linesInCurrentSecond = 0;
    std::uint64_t droppedLines = 0;
};

} // namespace Greengage
