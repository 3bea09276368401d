#pragma once

#include <support/ChildProcess.h>
#include <support/RawHttpRequest.h>

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <memory>
#include <string>
#include <vector>

namespace Greengage {

/// A small fleet of real processes on loopback addresses: a store, four endpoints in two availability zones, and the
/// daemons that a test starts. `documentText` is its document.
class FleetFixture {
public:
    FleetFixture();
    ~FleetFixture();

    /// Starts daemon `number` (from 1) in availability zone `number`.
    void startDaemon(int number);
    ChildProcess& daemon(int number) { return *this->daemons.at(static_cast<std::size_t>(number)); }
    std::string daemonAddress(int number) const { return "127.1." + std::to_string(number) + ".1"; }

    /// Submits a document text through a daemon and returns the response.
    HttpReply submit(int number, const std::string& changeId, int baseRevision, const std::string& text);
    /// Sends a request to a queue as a caller.
    HttpReply call(
        int number, const std::string& queue, const std::vector<std::string>& headers, const std::string& body);
    /// Reads a page from a daemon's admin port.
    HttpReply admin(int number, const std::string& path);
    /// Sets faults and VMs of the store stand-in.
    HttpReply control(const Json::Value& storeFaults);
    /// The calls that the store stand-in has counted.
    Json::Value storeCalls();
    /// The number of store calls whose name ends with `kind`.
    int storeCallCount(const std::string& kind);

    /// Waits until a daemon's health page reports that it serves.
    void awaitHealthy(int number);
    /// Polls `condition`, and fails the test if it is not true within a minute. `what` names it in the failure.
    static void awaitTrue(const std::string& what, const std::function<bool()>& condition);

    /// The document of the fleet, without the section of the caller's key if `withKey` is false.
    std::string documentText(bool withKey = true) const;
    const std::string bearer = "Authorization: Bearer booking.secret";

    std::uint16_t callersPort() const { return this->basePort; }
    std::uint16_t adminPort() const { return this->basePort + 1; }

    /// The number of times that endpoints started work with this call name in its body.
    int startCount(const std::string& call) const;

    /// The number of times that work started at an endpoint while the platform rebooted its VM.
    int startCountWhileRebooting() const;

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
