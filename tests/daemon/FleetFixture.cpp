#include <tests/daemon/FleetFixture.h>

#include <boost/test/unit_test.hpp>
#include <core/text/Digest.h>

#include <algorithm>
#include <chrono>
#include <config/json/JsonText.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr int firstPort = 24100;
constexpr int portsPerFixture = 10;
constexpr int maxFixtures = 80;
constexpr auto waitTimeout = std::chrono::seconds(60);
constexpr auto pollInterval = std::chrono::milliseconds(10);
constexpr const char* storeAddress = "127.3.0.1";
constexpr const char* salt = "0011223344556677";
constexpr int endpointCount = 4;

std::string program(const std::string& name) { return std::string(BINARY_ROOT "/bin/") + name; }

std::string endpointAddress(int number)
{
    return "127.2." + std::to_string(1 + number % 2) + "." + std::to_string(1 + number / 2);
}

/// The value of a `key=value` field in a line of a history file.
std::string fieldValue(const std::string& line, const std::string& key)
{
    auto begin = line.find(" " + key + "=");
    if (begin == std::string::npos)
        return {};
    begin += key.size() + 2;
    return line.substr(begin, line.find(' ', begin) - begin);
}

} // namespace

FleetFixture::FleetFixture()
    : basePort(static_cast<std::uint16_t>(firstPort + getpid() % maxFixtures * portsPerFixture))
{
    char pattern[] = "/tmp/greengage-daemon-XXXXXX";
    this->folder = mkdtemp(pattern);
    this->daemons.resize(10);
    this->store = std::make_unique<ChildProcess>(
        std::vector<std::string> { program("standin-store"), "--port", std::to_string(this->basePort + 3),
            "--control-port", std::to_string(this->basePort + 4), "--history", this->path("platform-history") },
        this->path("store.log"));
    std::vector<std::string> command { program("standin-minion"), "--control-port", std::to_string(this->basePort + 6),
        "--history", this->path("history") };
    for (int number = 0; number < endpointCount; ++number) {
        command.push_back("--endpoint");
        command.push_back(
            "vm" + std::to_string(number) + "=" + endpointAddress(number) + ":" + std::to_string(this->basePort + 5));
    }
    this->minion = std::make_unique<ChildProcess>(command, this->path("minion.log"));
    awaitTrue("store and endpoints listen", [this] {
        return sendHttpRequest(storeAddress, this->basePort + 4, "GET", "/control/calls").status == 200
            && sendHttpRequest(storeAddress, this->basePort + 6, "GET", "/control/state").status == 200;
    });
    this->listVms();
}

FleetFixture::~FleetFixture()
{
    for (std::size_t number = 0; number < this->daemons.size(); ++number) {
        if (this->daemons[number])
            BOOST_TEST_MESSAGE("daemon " << number << ":\n" << this->daemons[number]->output());
    }
    this->daemons.clear();
    this->minion.reset();
    this->store.reset();
    std::filesystem::remove_all(this->folder);
}

void FleetFixture::listVms()
{
    Json::Value faults(Json::objectValue);
    for (int number = 0; number < endpointCount; ++number) {
        Json::Value vm(Json::objectValue);
        vm["id"] = "vm" + std::to_string(number);
        vm["address"] = endpointAddress(number);
        vm["port"] = this->basePort + 5;
        vm["zone"] = "zone-" + std::to_string(1 + number % 2);
        vm["rack"] = "rack-" + std::to_string(number);
        vm["state"] = "live";
        faults["vms"].append(vm);
    }
    BOOST_REQUIRE(this->control(faults).status == 200);
}

std::string FleetFixture::writeSettings(int number) const
{
    std::string file = this->path("daemon-" + std::to_string(number) + ".ini");
    std::ofstream out(file);
    out << "[daemon]\nname = d" << number << "\nzone = zone-" << number << "\naddress = " << this->daemonAddress(number)
        << "\n[callers]\nport = " << this->callersPort() << "\n[admin]\nport = " << this->adminPort()
        << "\nkey_salt = " << salt << "\nkey_digest = " << sha256Hex(std::string(salt) + "operator")
        << "\n[mesh]\nport = " << this->basePort + 2 << "\npeers = " << this->daemonAddress(1) << ":"
        << this->basePort + 2 << ", " << this->daemonAddress(2) << ":" << this->basePort + 2
        << "\n[store]\naddress = " << storeAddress << "\nport = " << this->basePort + 3 << "\n";
    return file;
}

void FleetFixture::startDaemon(int number)
{
    this->daemons.at(static_cast<std::size_t>(number)) = std::make_unique<ChildProcess>(
        std::vector<std::string> { program("greengaged"), "--settings", this->writeSettings(number) },
        this->path("daemon-" + std::to_string(number) + ".log"));
    awaitTrue("daemon listens", [this, number] {
        return sendHttpRequest(this->daemonAddress(number), this->callersPort(), "GET", "/healthz").status != 0;
    });
}

HttpReply FleetFixture::submit(int number, const std::string& changeId, int baseRevision, const std::string& text)
{
    Json::Value submission(Json::objectValue);
    submission["changeId"] = changeId;
    submission["author"] = "tester";
    submission["baseRevision"] = baseRevision;
    submission["text"] = text;
    return sendHttpRequest(this->daemonAddress(number), this->adminPort(), "POST", "/v1/document",
        { "Authorization: Bearer operator" }, writeJson(submission));
}

HttpReply FleetFixture::call(
    int number, const std::string& queue, const std::vector<std::string>& headers, const std::string& body)
{
    return sendHttpRequest(
        this->daemonAddress(number), this->callersPort(), "POST", "/v1/queues/" + queue, headers, body);
}

HttpReply FleetFixture::admin(int number, const std::string& path)
{
    return sendHttpRequest(
        this->daemonAddress(number), this->adminPort(), "GET", path, { "Authorization: Bearer operator" });
}

HttpReply FleetFixture::control(const Json::Value& storeFaults)
{
    return sendHttpRequest(storeAddress, this->basePort + 4, "POST", "/control", {}, writeJson(storeFaults));
}

Json::Value FleetFixture::storeCalls()
{
    auto parsed = parseJson(sendHttpRequest(storeAddress, this->basePort + 4, "GET", "/control/calls").body);
    BOOST_REQUIRE(parsed.has_value());
    return parsed.value();
}

int FleetFixture::storeCallCount(const std::string& kind)
{
    const Json::Value counts = this->storeCalls()["calls"];
    int sum = 0;
    for (const std::string& name : counts.getMemberNames())
        sum += name.ends_with(kind) ? counts[name].asInt() : 0;
    return sum;
}

void FleetFixture::awaitHealthy(int number)
{
    awaitTrue("daemon serves", [this, number] {
        return sendHttpRequest(this->daemonAddress(number), this->callersPort(), "GET", "/healthz").status == 200;
    });
}

void FleetFixture::awaitTrue(const std::string& what, const std::function<bool()>& condition)
{
    auto giveUp = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > giveUp)
            BOOST_FAIL("timed out waiting until " << what);
        std::this_thread::sleep_for(pollInterval);
    }
}

std::string FleetFixture::documentText(bool withKey) const
{
    std::string text = "[service orders]\nowner = stock\n[pool orders]\nowner = stock\nservice = orders\n"
                       "vms = vm0 vm1 vm2 vm3\n"
                       "[queue orders]\nowner = stock\nservice = orders\naccess = keyed\nidempotent = yes\n"
                       "[queue prices]\nowner = stock\nservice = orders\naccess = open\nidempotent = yes\n"
                       "[queue pallets]\nowner = stock\nservice = orders\naccess = keyed\nidempotent = no\n"
                       "[pool spare]\nowner = stock\n"
                       "[wave kernel]\nowner = stock\npools = orders\nmax_concurrent = 1\n"
                       "[wave shrink]\nowner = stock\npools = orders\naction = move\ntarget = spare\n"
                       "[team booking]\nowner = desk\nworkspace = desk\nshare = 1\nlimit = 16\n"
                       "[team walk-in]\nowner = desk\nworkspace = desk\nshare = 1\nlimit = 16\n";
    if (withKey)
        text += "[key booking]\nowner = desk\nteam = booking\nsalt = " + std::string(salt)
            + "\ndigest = " + sha256Hex(std::string(salt) + "secret") + "\n";
    return text;
}

int FleetFixture::startCount(const std::string& call) const
{
    std::ifstream stream(this->path("history"));
    int starts = 0;
    for (std::string line; std::getline(stream, line);) {
        bool isStart = line.find("event=start ") != std::string::npos;
        starts += isStart && line.ends_with("call=" + call) ? 1 : 0;
    }
    return starts;
}

int FleetFixture::startCountWhileRebooting() const
{
    struct Reboot {
        std::string vm;
        long long from = 0;
        long long to = std::numeric_limits<long long>::max();
    };
    std::vector<Reboot> reboots;
    std::ifstream platform(this->path("platform-history"));
    for (std::string line; std::getline(platform, line);) {
        if (line.starts_with("event=vm_leaving"))
            reboots.push_back({ fieldValue(line, "vm"), std::stoll(fieldValue(line, "at")) });
        auto open = std::find_if(reboots.rbegin(), reboots.rend(),
            [&line](const Reboot& reboot) { return reboot.vm == fieldValue(line, "vm"); });
        if (line.starts_with("event=vm_live") && open != reboots.rend())
            open->to = std::stoll(fieldValue(line, "at"));
    }
    BOOST_TEST(!reboots.empty());
    int starts = 0;
    std::ifstream endpoints(this->path("history"));
    for (std::string line; std::getline(endpoints, line);) {
        if (!line.starts_with("event=start "))
            continue;
        long long at = std::stoll(fieldValue(line, "at"));
        starts += static_cast<int>(std::count_if(reboots.begin(), reboots.end(), [&](const Reboot& reboot) {
            return reboot.vm == fieldValue(line, "vm") && at > reboot.from && at < reboot.to;
        }));
    }
    return starts;
}

} // namespace Greengage
