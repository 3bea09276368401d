#pragma once

#include <standins/common/HttpService.h>
#include <standins/minion/EndpointFaults.h>
#include <standins/minion/EndpointSettings.h>
#include <standins/minion/RunningJob.h>

#include <json/forwards.h>
#include <map>
#include <set>
#include <vector>

struct evhttp_connection;

namespace Greengage {

class HistoryFile;
class Loop;

/// One endpoint VM: runs work in a limited number of slots, reports what is running, and simulates the failures that
/// control calls switch on.
class Endpoint {
public:
    Endpoint(Loop&, HistoryFile&, EndpointSettings);

    bool start();
    const std::string& vm() const { return this->settings.vm; }

    /// Applies the members that the JSON object has: frozen, leaving, truncateAnswers, dieInNextAnswer, answerDelayMs,
    /// runMs, silenceConnections (open connections stay open but get no more answers), die, revive.
    void applyControl(const Json::Value&);

    Json::Value describe() const;

private:
    void handle(evhttp_request*);
    void serve(evhttp_request*);
    void run(evhttp_request*);
    void finish(std::uint64_t job);
    void answer(RunningJob&);
    void sendDelayedAnswer(std::uint64_t job);
    void reportRunning(evhttp_request*);
    void record(const char* event, const RunningJob&);
    bool admitConnection(evhttp_connection*);
    void removeConnection(evhttp_connection*);
    bool cannotAnswer(evhttp_request*) const;
    void setFrozen(bool);
    void crash();
    static void handleConnectionClosed(evhttp_connection*, void*);

    Loop& loop;
    HistoryFile& history;
    EndpointSettings settings;
    EndpointFaults faults;
    std::set<evhttp_connection*> connections;
    std::set<evhttp_connection*> unresponsiveConnections;
    std::map<std::uint64_t, RunningJob> running;
    /// Jobs whose work has ended and whose answers are delayed, by number.
    std::map<std::uint64_t, RunningJob> awaitingAnswer;
    /// Requests that arrived and jobs whose run time ended while the endpoint was frozen; handled when it is unfrozen.
    std::vector<evhttp_request*> deferredRequests;
    std::vector<std::uint64_t> deferredJobs;
    std::uint64_t lastJob = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    int crashes = 0;
    std::size_t mostRunning = 0;
    HttpService service;
};

} // namespace Greengage
