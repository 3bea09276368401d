#include <support/RawHttpRequest.h>

#include <support/RawConnection.h>

namespace Greengage {

HttpReply sendHttpRequest(const std::string& address, std::uint16_t port, const std::string& method,
    const std::string& path, const std::vector<std::string>& headers, const std::string& body)
{
    RawConnection connection(address, port);
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: test\r\n";
    for (const auto& header : headers)
        request += header + "\r\n";
    connection.send(request + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return connection.receive();
}

} // namespace Greengage
