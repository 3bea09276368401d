#pragma once

#include <core/time/Deadline.h>

#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace Greengage {

/// Writes log lines to a file descriptor without ever waiting for its reader. Lines that the reader does not take, and
/// informational lines beyond a rate, are left out and counted; a line says how many.
class BoundedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    /// Bounds what logging costs under load. A daemon that places tasks in a burst writes about half as many.
    static constexpr std::uint32_t informationalLinesPerSecond = 1000;

    explicit BoundedSink(int descriptor)
        : descriptor(descriptor)
    {
    }

protected:
    void sink_it_(const spdlog::details::log_msg&) override; // NOLINT(readability-identifier-naming): spdlog's name
    void flush_() override { } // NOLINT(readability-identifier-naming): spdlog's name

private:
    bool write(const char* data, std::size_t size) const;
    void reportLeftOut();

    int descriptor;
    Deadline secondOver;
    std::uint32_t linesInSecond = 0;
    std::uint64_t leftOut = 0;
};

} // namespace Greengage
