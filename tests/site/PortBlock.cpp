#include <tests/site/PortBlock.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr std::uint16_t firstPort = 21000;
constexpr int blockCount = 49;

bool bindTo(int descriptor, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
}

} // namespace

PortBlock::PortBlock()
    : markerSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    for (int attempt = 0; attempt < blockCount; ++attempt) {
        int block = (getpid() + attempt) % blockCount;
        this->first = static_cast<std::uint16_t>(firstPort + block * PortBlock::size);
        if (bindTo(this->markerSocket, this->first + PortBlock::size - 1))
            return;
    }
    close(this->markerSocket);
    throw std::runtime_error("all ranges of test ports are in use");
}

PortBlock::~PortBlock() { close(this->markerSocket); }

} // namespace Greengage
