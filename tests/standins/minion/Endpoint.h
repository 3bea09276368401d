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

/// One endpoint VM: runs work in slots, reports what is running, and fails as told.
class Endpoint {
public:
    Endpoint(Loop&, HistoryFile&, EndpointSettings);

    bool start();
    const std::string& vm() const { return this->settings.vm; }

    /// Changes what the JSON object names: frozen, leaving, truncateAnswers, dieInNextAnswer, answerDelayMs, runMs,
    /// silenceConnections (open connections stay open and nothing more comes out of them), die, revive.
    void applyControl(const Json::Value&);

    Json::Value describe() const;

private:
    void handle(evhttp_request*);
    void serve(evhttp_request*);
    void run(evhttp_request*);
    void finish(std::uint64_t job);
    void answer(RunningJob&);
    void answerLate(std::uint64_t job);
    void reportRunning(evhttp_request*);
    void record(const char* event, const RunningJob&);
    bool admitConnection(evhttp_connection*);
    void forget(evhttp_connection*);
    bool isMute(evhttp_request*) const;
    void setFrozen(bool);
    void die();
    static void connectionClosed(evhttp_connection*, void*);

    Loop& loop;
    HistoryFile& history;
    EndpointSettings settings;
    EndpointFaults faults;
    std::set<evhttp_connection*> connections;
    std::set<evhttp_connection*> silentConnections;
    std::map<std::uint64_t, RunningJob> running;
    /// Jobs whose work has ended and whose answers are delayed.
    std::map<std::uint64_t, RunningJob> ended;
    /// What a frozen endpoint does when it wakes: requests to serve and jobs to end.
    std::vector<evhttp_request*> unserved;
    std::vector<std::uint64_t> unfinished;
    std::uint64_t lastJob = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    int deaths = 0;
    std::size_t mostRunning = 0;
    HttpService service;
};

} // namespace Greengage
