#include <tests/demo/Demo.h>

#include <cstdio>
#include <thread>

namespace Greengage {

namespace {

constexpr Milliseconds loadDuration { 16000 };
constexpr Milliseconds beforeWithdrawal { 4000 };
constexpr Milliseconds loadEndLimit { 40000 };
constexpr Milliseconds stopLimit { 20000 };
constexpr Milliseconds waveLimit { 120000 };
constexpr std::string_view withdrawnKey = "lighting-1";
constexpr const char* waveName = "kernel";
constexpr std::string_view waveSection = "\n[wave kernel]\nowner = platform\npools = light-preview\naction = reboot\n"
                                         "max_concurrent = 2\ndrain_timeout_seconds = 30\n";

void printLine(const std::string& text)
{
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
}

std::string formatCount(const char* name, int value) { return std::string(" ") + name + "=" + std::to_string(value); }

} // namespace

Demo::Demo(std::uint64_t seed)
    : seed(seed)
    , site(SitePlan::workshop())
{
}

bool Demo::run()
{
    this->startSite();
    this->startLoad();
    this->startWave();
    std::this_thread::sleep_for(beforeWithdrawal);
    this->withdrawKey();
    if (!this->site.waitForCallers(loadEndLimit)) {
        printLine("callers have not ended in time");
        return false;
    }
    bool maintained = this->finishWave();
    bool stopped = this->stopAll();
    return this->reportVerdict() && maintained && stopped;
}

void Demo::startSite()
{
    this->site.startPlatform();
    printLine(
        "platform: store and " + std::to_string(this->site.layout().endpoints().size()) + " endpoints of 5 services");
    this->site.document().append(std::string(waveSection));
    this->site.startDaemons();
    printLine("daemons: " + std::to_string(this->site.layout().daemons().size()) + " in 4 availability zones");
    this->site.applyAsOperator();
    printLine("document: applied by greengagectl, in force on every daemon");
}

void Demo::startLoad()
{
    std::vector<std::string> loads;
    for (const char* queue : { "quotes", "reservations", "layouts", "previews", "orders" })
        loads.push_back(std::string("queue=") + queue + " rate=50 run_ms=400 deadline_ms=4000");
    this->site.startCallers(
        "callers", loads, loadDuration, { "--burst-ms", "1500", "--seed", std::to_string(this->seed) });
    printLine("callers: five queues, each in turn at five times its mean");
}

void Demo::startWave()
{
    this->site.startWaveAsOperator(waveName);
    printLine(std::string("wave: ") + waveName + " started by greengagectl, reboots the 8 VMs of pool light-preview");
}

void Demo::withdrawKey()
{
    this->site.withdrawAsOperator(std::string(withdrawnKey));
    printLine("key: " + std::string(withdrawnKey) + " withdrawn by greengagectl");
}

bool Demo::finishWave()
{
    bool done = this->site.waitForWave(waveName, waveLimit);
    printLine(std::string("wave: ") + waveName + (done ? " done, every VM rebooted" : " not done in time"));
    return done;
}

bool Demo::stopAll()
{
    bool stopped = this->site.stopDaemons(stopLimit);
    printLine(stopped ? "daemons: all stopped gracefully" : "daemons: not all stopped gracefully");
    return stopped;
}

bool Demo::reportVerdict() const
{
    auto verdict = this->site.verdict();
    for (const auto& detail : verdict.details)
        printLine(detail);
    printLine("history: " + verdict.summary());
    printLine("demo:" + formatCount("answered", verdict.answered) + formatCount("not_run", verdict.notRun)
        + formatCount("unknown", verdict.unknown) + formatCount("lost", verdict.count(HistoryViolation::Lost))
        + formatCount("cut", verdict.count(HistoryViolation::CorruptAnswer))
        + formatCount("doubled", verdict.count(HistoryViolation::DuplicateStart)));
    return verdict.isClean() && verdict.answered > 0;
}

} // namespace Greengage
