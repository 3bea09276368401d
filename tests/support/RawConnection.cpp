#include <support/RawConnection.h>

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr timeval hangTimeout { 60, 0 };
constexpr std::size_t headEndBytes = 4;

int connectTo(const std::string& address, std::uint16_t port)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &hangTimeout, sizeof(hangTimeout));
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &target.sin_addr);
    if (connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0)
        return socket;
    close(socket);
    return -1;
}

std::size_t contentLength(const std::string& head)
{
    const std::string name = "Content-Length: ";
    auto found = head.find(name);
    return found == std::string::npos ? 0 : std::strtoul(head.c_str() + found + name.size(), nullptr, 10);
}

/// Where the first response ends; std::string::npos if it is not complete.
std::size_t endOfReply(const std::string& received)
{
    auto headEnd = received.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return headEnd;
    auto end = headEnd + headEndBytes + contentLength(received.substr(0, headEnd));
    return received.size() >= end ? end : std::string::npos;
}

} // namespace

RawConnection::RawConnection(const std::string& address, std::uint16_t port)
    : socket(connectTo(address, port))
{
}

RawConnection::~RawConnection()
{
    if (this->isConnected())
        close(this->socket);
}

void RawConnection::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (this->isConnected() && sent < bytes.size()) {
        ssize_t count = ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

bool RawConnection::receiveMore()
{
    std::array<char, 4096> bytes {};
    ssize_t count = this->isConnected() ? recv(this->socket, bytes.data(), bytes.size(), 0) : 0;
    if (count > 0)
        this->received.append(bytes.data(), static_cast<std::size_t>(count));
    return count > 0;
}

HttpReply RawConnection::receive()
{
    HttpReply reply;
    reply.connected = this->isConnected();
    while (endOfReply(this->received) == std::string::npos) {
        if (!this->receiveMore())
            return reply;
    }
    auto headEnd = this->received.find("\r\n\r\n");
    auto end = endOfReply(this->received);
    reply.head = this->received.substr(0, headEnd + 2);
    reply.body = this->received.substr(headEnd + headEndBytes, end - headEnd - headEndBytes);
    reply.status = std::atoi(reply.head.c_str() + reply.head.find(' '));
    this->received.erase(0, end);
    return reply;
}

std::string RawConnection::receiveLine()
{
    while (this->received.find('\n') == std::string::npos) {
        if (!this->receiveMore())
            return {};
    }
    std::string line = this->received.substr(0, this->received.find('\n'));
    this->received.erase(0, line.size() + 1);
    return line;
}

} // namespace Greengage
