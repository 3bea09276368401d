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

/// The platform's key-value service and VM list over HTTP, with failures switched by a control address.
class StoreService {
public:
    /// `historyPath` gets a line when a VM of the list becomes leaving or live.
    StoreService(Loop&, const std::string& address, std::uint16_t port, std::uint16_t controlPort,
        const std::string& historyPath);

    /// Tells whether both addresses could be bound.
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
    void releaseHeld();
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
    /// Questions for the VM list that were answered with "not modified".
    std::uint64_t unchangedVmLists = 0;
    std::vector<PendingWatch> watches;
    /// Requests that are never answered; their connections are closed when the failure ends.
    std::set<evhttp_request*> held;
    HistoryFile history;
    HttpService calls;
    HttpService control;
};

} // namespace Greengage
