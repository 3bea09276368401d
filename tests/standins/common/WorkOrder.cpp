#include <standins/common/WorkOrder.h>

#include <core/text/Digest.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace Greengage {

namespace {

constexpr std::size_t maxAnswerBytes = 1024 * 1024;

} // namespace

std::string WorkOrder::toBody(std::size_t bodyBytes) const
{
    auto body = "call=" + this->call + " run_ms=" + std::to_string(this->runMilliseconds)
        + " answer_bytes=" + std::to_string(this->answerBytes) + "\n";
    if (body.size() < bodyBytes)
        body.append(bodyBytes - body.size(), '.');
    return body;
}

WorkOrder WorkOrder::fromBody(const std::string& body)
{
    WorkOrder order;
    std::istringstream words(body.substr(0, body.find('\n')));
    for (std::string word; words >> word;) {
        auto separator = word.find('=');
        if (separator == std::string::npos)
            continue;
        auto name = word.substr(0, separator);
        auto value = word.substr(separator + 1);
        if (name == "call")
            order.call = value;
        else if (name == "run_ms")
            order.runMilliseconds = std::atoi(value.c_str());
        else if (name == "answer_bytes")
            order.answerBytes = std::min<std::size_t>(std::strtoul(value.c_str(), nullptr, 10), maxAnswerBytes);
    }
    return order;
}

std::string WorkOrder::answerFor(const std::string& body)
{
    auto digest = sha256Hex(body);
    auto size = std::max(fromBody(body).answerBytes, digest.size());
    std::string answer;
    while (answer.size() < size)
        answer += digest;
    answer.resize(size);
    return answer;
}

} // namespace Greengage
