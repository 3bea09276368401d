#include <tests/site/BlockingHttpClient.h>

#include <core/time/Deadline.h>
#include <standins/common/JsonText.h>

#include <optional>
#include <stdexcept>
#include <thread>

namespace Greengage {

namespace {

constexpr Milliseconds pollInterval { 20 };
constexpr Milliseconds callLimit { 20000 };

} // namespace

BlockingHttpClient::BlockingHttpClient()
    : client(loop.base(), "127.0.0.1")
{
}

BlockingHttpClient::Outcome BlockingHttpClient::send(HttpRequest call)
{
    std::optional<Outcome> outcome;
    call.freshConnection = true;
    this->client.send(call, [&outcome](Outcome result) { outcome = std::move(result); });
    if (!this->loop.runUntil([&outcome] { return outcome.has_value(); }, call.timeout + callLimit))
        throw std::runtime_error(
            "call to " + call.address + ":" + std::to_string(call.port) + call.path + " has not ended in time");
    this->client.closeIdleConnections();
    return *outcome;
}

Json::Value BlockingHttpClient::post(
    const std::string& address, std::uint16_t port, const std::string& path, const Json::Value& body)
{
    HttpRequest call;
    call.address = address;
    call.port = port;
    call.path = path;
    call.body = toJsonText(body);
    return this->sendForJson(call);
}

Json::Value BlockingHttpClient::get(const std::string& address, std::uint16_t port, const std::string& path)
{
    HttpRequest call;
    call.address = address;
    call.port = port;
    call.path = path;
    return this->sendForJson(call);
}

Json::Value BlockingHttpClient::sendForJson(const HttpRequest& call)
{
    auto outcome = this->send(call);
    auto where = call.address + ":" + std::to_string(call.port) + call.path + ": ";
    if (!outcome)
        throw std::runtime_error(where + outcome.error().detail);
    if (outcome.value().status != 200)
        throw std::runtime_error(
            where + "status " + std::to_string(outcome.value().status) + " " + outcome.value().body);
    auto json = parseJsonObject(outcome.value().body);
    if (!json)
        throw std::runtime_error(where + "answer is not a JSON object");
    return *json;
}

bool BlockingHttpClient::waitUntil(const std::function<bool()>& condition, Milliseconds limit)
{
    auto deadline = Deadline::after(BootClock::now(), limit);
    while (!condition()) {
        if (deadline.hasPassed(BootClock::now()))
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace Greengage
