#pragma once

#include <support/ChildProcess.h>
#include <support/HttpTalk.h>

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <memory>
#include <string>
#include <vector>

namespace Greengage {

/// A small fleet of real processes on loopback addresses: a store, four endpoints in two availability zones and some
/// daemons, under one document with a team, a key and two queues.
class FleetFixture {
public:
    FleetFixture();
    ~FleetFixture();

    /// Starts daemon `number` (from 1) in zone `number`.
    void startDaemon(int number);
    ChildProcess& daemon(int number) { return *this->daemons.at(static_cast<std::size_t>(number)); }
    std::string daemonAddress(int number) const { return "127.1." + std::to_string(number) + ".1"; }

    /// Submits a text through a daemon and returns the answer.
    HttpTalkReply submit(int number, const std::string& changeId, int baseRevision, const std::string& text);
    HttpTalkReply call(
        int number, const std::string& queue, const std::vector<std::string>& headers, const std::string& body);
    HttpTalkReply admin(int number, const std::string& path);
    HttpTalkReply control(const Json::Value& storeFaults);
    Json::Value storeCalls();
    /// How many calls of a kind the store has had.
    int storeCallCount(const std::string& kind);

    /// Waits until a daemon answers that it serves.
    void awaitHealthy(int number);
    static void awaitTrue(const std::string& what, const std::function<bool()>& condition);

    /// The document; the key's section is left out if it is withdrawn.
    std::string documentText(bool withKey = true) const;
    const std::string bearer = "Authorization: Bearer booking.secret";

    std::uint16_t callersPort() const { return this->basePort; }
    std::uint16_t adminPort() const { return this->basePort + 1; }

    /// How often the minions began work whose body has this call name.
    int startsOf(const std::string& call) const;

    /// How often work began at an endpoint while the platform rebooted its VM.
    int startsWhileRebooting() const;

private:
    std::string writeSettings(int number) const;
    void listVms();
    std::string path(const std::string& name) const { return this->folder + "/" + name; }

    std::string folder;
    std::uint16_t basePort;
    std::unique_ptr<ChildProcess> store;
    std::unique_ptr<ChildProcess> minion;
    std::vector<std::unique_ptr<ChildProcess>> daemons;
};

} // namespace Greengage
