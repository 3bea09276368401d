#include <support/ProcessUsage.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace Greengage {

namespace {

constexpr int hexadecimal = 16;

std::size_t peakResidentBytes(const std::string& folder)
{
    constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find(':') + 1)) * bytesPerKilobyte;
    }
    return 0;
}

/// A row is "sl local_address:port remote_address:port state sent:received ...", in hexadecimal digits.
std::size_t unreadBytes(std::uint16_t port)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::size_t sum = 0;
    std::string index;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    while (table >> index >> local >> remote >> state >> queues && std::getline(table, line)) {
        // The queue of a listening socket holds connections.
        bool isListening = state == "0A";
        if (!isListening && std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal) == port)
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return sum;
}

std::size_t openDescriptors(const std::string& folder)
{
    std::error_code ended;
    std::filesystem::directory_iterator entries(folder + "/fd", ended);
    return ended ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace

void ProcessUsage::sample(std::uint16_t port)
{
    std::string folder = "/proc/" + std::to_string(this->process);
    this->memory = std::max(this->memory, peakResidentBytes(folder) + unreadBytes(port));
    this->descriptors = std::max(this->descriptors, openDescriptors(folder));
}

} // namespace Greengage
