#pragma once

#include <support/HttpReply.h>

#include <cstdint>
#include <string>

namespace Greengage {

/// A blocking TCP connection on which a test sends bytes and receives HTTP responses.
class RawConnection {
public:
    RawConnection(const std::string& address, std::uint16_t port);
    ~RawConnection();

    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    bool isConnected() const { return this->socket >= 0; }
    void send(const std::string& bytes) const;

    /// Blocks until the next response is complete, the server closes the connection, or 60 seconds pass without data.
    HttpReply receive();
    /// Blocks likewise until a line is complete, and returns it; empty if none came.
    std::string receiveLine();

private:
    /// Whether more bytes have come.
    bool receiveMore();

    int socket;
    /// What was received after the last response.
    std::string received;
};

} // namespace Greengage
