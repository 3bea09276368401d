#pragma once

#include <standins/common/HttpService.h>
#include <standins/relay/RelayLink.h>
#include <standins/relay/RelayRule.h>

#include <json/forwards.h>
#include <memory>
#include <unordered_map>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace Greengage {

class Loop;

/// Relays TCP connections under rules that can be changed while it runs.
class RelayProcess {
public:
    RelayProcess(Loop&, const std::string& controlAddress, std::uint16_t controlPort, std::vector<RelayRoute>);
    ~RelayProcess();

    /// Tells whether all addresses could be bound.
    bool start();

private:
    struct Listener {
        RelayProcess* process;
        RelayRoute route;
        evconnlistener* handle;
    };

    static void accepted(evconnlistener*, int descriptor, sockaddr*, int, void* listener);

    bool listen(Listener&);
    void add(int descriptor, const std::string& source, const RelayRoute&);
    RelayAction actionFor(const std::string& source, const std::string& destination) const;
    void applyRules();

    /// POST /control {"rules":[{"source","destination","action"}]} replaces the rules, the first that matches counts;
    /// {"silence":{"source","destination"}} silences the open connections for good. GET /control/state counts links.
    void handleControl(evhttp_request*);
    void applyControl(const Json::Value&);

    Loop& loop;
    HttpService control;
    std::vector<std::unique_ptr<Listener>> listeners;
    std::vector<RelayRule> rules;
    std::unordered_map<RelayLink*, std::unique_ptr<RelayLink>> links;
};

} // namespace Greengage
