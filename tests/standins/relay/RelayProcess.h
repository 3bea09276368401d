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

/// Relays TCP connections according to rules that can be changed while it runs.
class RelayProcess {
public:
    RelayProcess(Loop&, const std::string& controlAddress, std::uint16_t controlPort, std::vector<RelayRoute>);
    ~RelayProcess();

    /// Returns whether all addresses could be bound.
    bool start();

private:
    struct Listener {
        RelayProcess* process;
        RelayRoute route;
        evconnlistener* handle;
    };

    static void handleAccepted(evconnlistener*, int descriptor, sockaddr*, int, void* listener);

    bool listen(Listener&);
    void addLink(int descriptor, const std::string& source, const RelayRoute&);
    RelayAction actionFor(const std::string& source, const std::string& destination) const;
    void applyRules();

    /// Handles POST /control {"rules":[{"source","destination","action"}]}, which replaces the rules (the first
    /// matching rule applies); POST /control {"silence":{"source","destination"}}, which permanently freezes the
    /// connections that are open now; and GET /control/state, which returns the number of open connections.
    void handleControl(evhttp_request*);
    void applyControl(const Json::Value&);

    Loop& loop;
    HttpService control;
    std::vector<std::unique_ptr<Listener>> listeners;
    std::vector<RelayRule> rules;
    std::unordered_map<RelayLink*, std::unique_ptr<RelayLink>> links;
};

} // namespace Greengage
