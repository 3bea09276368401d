#include <core/log/BoundedSink.h>

#include <core/log/LogLine.h>

#include <poll.h>
#include <unistd.h>

namespace Greengage {

void BoundedSink::sink_it_(const spdlog::details::log_msg& message)
{
    Instant now = BootClock::now();
    if (this->secondOver.hasPassed(now)) {
        this->secondOver = Deadline::after(now, Seconds(1));
        this->linesInSecond = 0;
    }
    this->linesInSecond += 1;
    if (message.level<spdlog::level::warn&& this->linesInSecond> informationalLinesPerSecond) {
        this->leftOut += 1;
        return;
    }
    if (this->leftOut)
        this->reportLeftOut();
    spdlog::memory_buf_t formatted;
    this->formatter_->format(message, formatted);
    if (!this->write(formatted.data(), formatted.size()))
        this->leftOut += 1;
}

bool BoundedSink::write(const char* data, std::size_t size) const
{
    // A pipe that reports room takes a line whole without blocking.
    pollfd ready { this->descriptor, POLLOUT, 0 };
    if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
        return false;
    return ::write(this->descriptor, data, size) == static_cast<ssize_t>(size);
}

void BoundedSink::reportLeftOut()
{
    std::string line = LogLine("log_lines_left_out").add("count", this->leftOut).text();
    spdlog::details::log_msg message("greengage", spdlog::level::warn, line);
    spdlog::memory_buf_t formatted;
    this->formatter_->format(message, formatted);
    if (this->write(formatted.data(), formatted.size()))
        this->leftOut = 0;
}

} // namespace Greengage
