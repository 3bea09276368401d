#include <loop/guard/ReceiveBuffer.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>

#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace Greengage {

namespace {

/// More than an ordinary request.
constexpr int receiveBufferBytes = 16 * 1024;

} // namespace

void limitReceiveBuffers(int listeningSocket)
{
    if (setsockopt(listeningSocket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes) != 0)
        writeLog(LogLevel::Warning, LogLine("receive_buffers_not_limited").add("error", std::strerror(errno)));
}

} // namespace Greengage
