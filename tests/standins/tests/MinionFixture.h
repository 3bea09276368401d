#pragma once

#include <standins/common/JsonText.h>
#include <standins/common/Loop.h>
#include <standins/common/WorkOrder.h>
#include <standins/minion/MinionProcess.h>
#include <store/store.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

namespace Greengage {

/// Two endpoints and an HTTP client on one event loop.
class MinionFixture {
public:
    static constexpr Milliseconds waitLimit { 10000 };
    using Outcome = Result<HttpResponse, HttpFailure>;

    MinionFixture()
        : port(static_cast<std::uint16_t>(21000 + getpid() % 400 * 2))
        , historyPath(std::filesystem::temp_directory_path() / ("minion-history-" + std::to_string(getpid())))
        , process(this->loop, "127.3.0.1", this->port + 1, this->historyPath.string(),
              { { "vm-1", "127.2.1.1", this->port }, { "vm-2", "127.2.1.2", this->port } })
        , client(this->loop.base(), "127.1.1.1")
    {
        if (!this->process.start())
            throw std::runtime_error("minion stand-in cannot listen");
    }

    ~MinionFixture() { std::filesystem::remove(this->historyPath); }

    HttpRequest makeCall(const std::string& path, const std::string& body = "") const
    {
        HttpRequest call;
        call.address = "127.2.1.1";
        call.port = this->port;
        call.path = path;
        call.body = body;
        call.headers = { { "Greengage-Request", "r1" }, { "Greengage-Team", "dispatch" } };
        return call;
    }

    /// Sends without waiting; the outcome is stored in the returned object when it arrives.
    std::shared_ptr<std::optional<Outcome>> begin(const HttpRequest& call)
    {
        auto pending = std::make_shared<std::optional<Outcome>>();
        this->client.send(call, [pending](Outcome outcome) { *pending = std::move(outcome); });
        return pending;
    }

    Outcome await(const HttpRequest& call)
    {
        auto pending = this->begin(call);
        if (!this->loop.runUntil([&] { return pending->has_value(); }, waitLimit))
            throw std::runtime_error("call " + call.path + " has not ended in time");
        return **pending;
    }

    Outcome work(const std::string& body) { return this->await(this->makeCall("/run", body)); }

    void control(const std::string& body)
    {
        auto call = this->makeCall("/control", body);
        call.address = "127.3.0.1";
        call.port = this->port + 1;
        if (!this->await(call))
            throw std::runtime_error("control call failed: " + body);
    }

    Json::Value state(int endpoint)
    {
        auto call = this->makeCall("/control/state");
        call.address = "127.3.0.1";
        call.port = this->port + 1;
        return parseJsonObject(this->await(call).value().body).value()["endpoints"][endpoint];
    }

    bool waitForRunning(int count)
    {
        return this->loop.runUntil([&] { return this->state(0)["running"].asInt() == count; }, waitLimit);
    }

    /// The number of lines in the history that record the event.
    int countEvents(const std::string& event) const
    {
        std::ifstream file(this->historyPath);
        int count = 0;
        for (std::string line; std::getline(file, line);)
            count += line.starts_with("event=" + event + " ") ? 1 : 0;
        return count;
    }

    Loop loop;
    std::uint16_t port;
    std::filesystem::path historyPath;
    MinionProcess process;
    HttpClient client;
};

} // namespace Greengage
