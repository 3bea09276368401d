#pragma once

#include <standins/common/HistoryFile.h>
#include <standins/common/HttpService.h>
#include <standins/store/PendingWatch.h>
#include <standins/store/RebootTable.h>
#include <standins/store/StoreFaults.h>
#include <standins/store/StoreState.h>
#include <standins/store/VmList.h>

#include <json/forwards.h>
#include <map>
#include <set>

namespace Greengage {

class Loop;

/// The platform's key-value service and VM list over HTTP, with simulated failures that a control port switches on and
/// off.
class StoreService {
public:
    /// A line is appended to `historyPath` whenever a VM of the list becomes leaving or live.
    StoreService(Loop&, const std::string& address, std::uint16_t port, std::uint16_t controlPort,
        const std::string& historyPath);

    /// Returns whether both ports could be bound.
    bool start();

private:
    void handleCall(evhttp_request*);
    void serve(evhttp_request*, const std::string& kind, const Json::Value& arguments);
    void answerVms(evhttp_request*, const Json::Value& answer);
    void answerWrite(evhttp_request*, StoreState::WriteResult, const std::string& key);
    void startWatch(evhttp_request*, const Json::Value& arguments);
    void answerWatches();
    void reply(evhttp_request*, const Json::Value&);
    void deliver(evhttp_request*, const Json::Value&);
    void runTimers();

    void handleControl(evhttp_request*);
    void applyControl(const Json::Value&);
    void setVms(const Json::Value& vms);
    void closeUnanswered();
    Json::Value describeCalls() const;
    Json::Value reboot(const std::string& vm, std::uint64_t operation);

    Loop& loop;
    StoreState state;
    StoreFaults faults;
    VmList vms;
    RebootTable reboots;
    Milliseconds rebootTime { 300 };
    Milliseconds vmsLag {};
    std::map<std::string, std::string> vmStates;
    std::map<std::string, std::uint64_t> callCounts;
    /// Requests for the VM list that were answered with status 304, not modified.
    std::uint64_t unchangedVmLists = 0;
    std::vector<PendingWatch> watches;
    /// Requests that are never answered; their connections are closed when the simulated failure ends.
    std::set<evhttp_request*> unansweredRequests;
    HistoryFile history;
    HttpService calls;
    HttpService control;
};

} // namespace Greengage
