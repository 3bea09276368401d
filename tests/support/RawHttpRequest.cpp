#include <support/RawHttpRequest.h>

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr timeval hangTimeout { 60, 0 };

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

bool isWhole(const std::string& received, std::size_t headEnd)
{
    return headEnd != std::string::npos && received.size() >= headEnd + 4 + contentLength(received.substr(0, headEnd));
}

} // namespace

HttpReply sendHttpRequest(const std::string& address, std::uint16_t port, const std::string& method,
    const std::string& path, const std::vector<std::string>& headers, const std::string& body)
{
    HttpReply reply;
    int socket = connectTo(address, port);
    if (socket < 0)
        return reply;
    reply.connected = true;
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: test\r\n";
    for (const auto& header : headers)
        request += header + "\r\n";
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    send(socket, request.data(), request.size(), MSG_NOSIGNAL);
    std::string received;
    std::size_t headEnd = std::string::npos;
    char bytes[4096];
    while (!isWhole(received, headEnd)) {
        ssize_t count = recv(socket, bytes, sizeof(bytes), 0);
        if (count <= 0)
            break;
        received.append(bytes, static_cast<std::size_t>(count));
        headEnd = received.find("\r\n\r\n");
    }
    close(socket);
    if (!isWhole(received, headEnd))
        return reply;
    reply.head = received.substr(0, headEnd + 2);
    reply.body = received.substr(headEnd + 4);
    reply.status = std::atoi(reply.head.c_str() + reply.head.find(' '));
    return reply;
}

} // namespace Greengage
