#include <core/log/BoundedSink.h>

#include <core/log/LogLine.h>

#include <poll.h>
#include <unistd.h>

namespace Greengage {

void BoundedSink::sink_it_(const spdlog::details::log_msg& message)
{
    Instant now = BootClock::now();
    if (this->currentSecondEnd.hasPassed(now)) {
        this->currentSecondEnd = Deadline::after(now, Seconds(1));
        this->linesInCurrentSecond = 0;
    }
    this->linesInCurrentSecond += 1;
    if (message.level<spdlog::level::warn&& this->linesInCurrentSecond> maxInformationalLinesPerSecond) {
        this->droppedLines += 1;
        return;
    }
    if (this->droppedLines)
        this->reportDroppedLines();
    spdlog::memory_buf_t formatted;
    this->formatter_->format(message, formatted);
    if (!this->write(formatted.data(), formatted.size()))
        this->droppedLines += 1;
}

bool BoundedSink::write(const char* data, std::size_t size) const
{
    // A pipe that polls as writable accepts a whole line without blocking.
    pollfd ready { this->descriptor, POLLOUT, 0 };
    if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
        return false;
    return ::write(this->descriptor, data, size) == static_cast<ssize_t>(size);
}

void BoundedSink::reportDroppedLines()
{
    std::string line = LogLine("log_lines_dropped").add("count", this->droppedLines).text();
    spdlog::details::log_msg message("greengage", spdlog::level::warn, line);
    spdlog::memory_buf_t formatted;
    this->formatter_->format(message, formatted);
    if (this->write(formatted.data(), formatted.size()))
        this->droppedLines = 0;
}

} // namespace Greengage
