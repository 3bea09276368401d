#pragma once

#include <checker/History.h>
#include <checker/HistoryVerdict.h>
#include <standins/common/HistoryFile.h>
#include <tests/site/ChildProcess.h>
#include <tests/site/HttpTool.h>
#include <tests/site/SiteDocument.h>
#include <tests/site/SiteLayout.h>

#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Greengage {

/// A whole site of processes on loopback addresses: store, endpoints, daemons, callers and, if planned, the relay
/// between them. Its files stand in a folder of their own, which is removed unless GREENGAGE_KEEP_SITE is set.
class Site {
public:
    /// Bound of everything that a test waits for and that should come soon.
    static constexpr Milliseconds waitLimit { 20000 };

    explicit Site(const SitePlan&);
    ~Site();

    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;

    const SiteLayout& layout() const { return this->places; }
    SiteDocument& document() { return this->operatorsDocument; }
    HttpTool& tool() { return this->http; }
    std::string file(const std::string& name) const { return (this->folder / name).string(); }

    /// Starts the store, the endpoints and the relay, waits for them, and lists the VMs.
    void startPlatform();

    /// Starts a daemon, by its place in the layout. An earlier process of it must have ended.
    void startDaemon(std::size_t index);
    /// Starts all daemons and waits until each answers.
    void startDaemons();
    ChildProcess& daemon(std::size_t index) { return *this->daemons.at(index); }
    bool answersHealth(std::size_t index);

    /// Submits the document's text through a daemon until it is accepted and in force, and records limits and
    /// withdrawals in the operators' history. Throws if it is refused or not in force in time.
    void applyDocument(std::size_t daemonIndex = 0);

    /// Runs greengagectl with the operators' key against all daemons and returns its exit code. What it prints is
    /// appended to operator.log.
    int operate(const std::vector<std::string>& command);

    /// Puts the document in force, or withdraws a key, as an operator would. The withdrawal counts from the command.
    /// They throw if greengagectl does not end with 0.
    void applyAsOperator();
    void withdrawAsOperator(const std::string& key);
    void startWaveAsOperator(const std::string& wave);

    /// Waits until a daemon's status says that the wave is done; tells whether that came within the limit.
    bool waitForWave(const std::string& wave, Milliseconds limit);

    /// Lists a VM as live or leaving.
    void setVmState(const std::string& vm, const std::string& state);

    void controlStore(const Json::Value& settings);
    void controlEndpoints(const Json::Value& settings);
    /// The sum over all endpoints of one of the numbers that they tell of themselves, such as "deaths".
    int sumOverEndpoints(const std::string& name);
    void controlRelay(const Json::Value& settings);

    /// Starts callers on the loads given, such as "queue=quotes rate=10", to which team, bearer and idempotence are
    /// added. With no daemons named, all are called.
    ChildProcess& startCallers(const std::string& name, const std::vector<std::string>& loads, Milliseconds duration,
        const std::vector<std::string>& options = {}, const std::vector<std::size_t>& daemonIndices = {});

    /// Waits until every caller process has ended by itself.
    bool waitForCallers(Milliseconds limit);

    /// Asks all daemons to shut down; tells whether every one ended with status 0 within the limit.
    bool stopDaemons(Milliseconds limit);

    /// Everything recorded so far, and what is to be said of it.
    History history() const;
    HistoryVerdict verdict() const;

private:
    void startStore();
    void startEndpoints();
    void startRelay();
    void listVms();
    std::string fullLoad(const std::string& load) const;
    /// Records the limits that are about to be raised, or those that have been lowered.
    void recordLimits(bool raised);
    void recordWithdrawals();
    /// Returns the revision that the document became.
    void requireOperated(const std::vector<std::string>& command);
    std::uint64_t submitDocument(std::size_t daemonIndex);
    HttpCall adminCall(std::size_t daemonIndex, const std::string& path) const;
    void waitForEndpoints();
    std::unique_ptr<ChildProcess> start(const std::string& name, std::vector<std::string> command);

    SitePlan plan;
    SiteLayout places;
    SiteDocument operatorsDocument;
    std::filesystem::path folder;
    std::unique_ptr<HistoryFile> operatorHistory;
    HttpTool http;
    std::map<std::string, std::string> vmStates;
    std::map<std::string, int> recordedLimits;
    std::set<std::string> recordedWithdrawals;
    int changes = 0;
    std::unique_ptr<ChildProcess> store;
    std::unique_ptr<ChildProcess> endpoints;
    std::unique_ptr<ChildProcess> relay;
    std::vector<std::unique_ptr<ChildProcess>> daemons;
    std::vector<std::unique_ptr<ChildProcess>> callers;
};

} // namespace Greengage
