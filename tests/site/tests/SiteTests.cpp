#include <boost/test/unit_test.hpp>
#include <config/document/DocumentParser.h>
#include <config/settings/SettingsParser.h>
#include <core/time/Deadline.h>
#include <csignal>
#include <fstream>
#include <sys/wait.h>
#include <tests/site/Site.h>
#include <tests/site/SiteSettings.h>
#include <thread>
#include <unistd.h>

using namespace Greengage;

namespace {

constexpr Milliseconds endLimit { 10000 };

std::string outputPath() { return "/dev/null"; }

} // namespace

BOOST_AUTO_TEST_SUITE(SiteOfProcesses)

BOOST_AUTO_TEST_CASE(childReportsItsExitStatus)
{
    ChildProcess good({ "/bin/true" }, outputPath());
    BOOST_TEST((good.wait(endLimit) == 0));
    ChildProcess killed({ "/bin/sleep", "600" }, outputPath());
    killed.signal(SIGSTOP);
    BOOST_TEST(!killed.exitStatus().has_value());
    killed.signal(SIGKILL);
    BOOST_TEST((killed.wait(endLimit) == 128 + SIGKILL));
}

/// Guards against a check that is met by what an earlier start of the same program has printed.
BOOST_AUTO_TEST_CASE(theOutputIsThatOfThisStartAlone)
{
    std::string path = "/tmp/greengage-output-" + std::to_string(getpid()) + ".log";
    ChildProcess first({ "/bin/echo", "first" }, path);
    BOOST_TEST((first.wait(endLimit) == 0));
    ChildProcess second({ "/bin/echo", "second" }, path);
    BOOST_TEST((second.wait(endLimit) == 0));
    BOOST_TEST(second.output() == "second\n");
    unlink(path.c_str());
}

BOOST_AUTO_TEST_CASE(destructorKillsTheChild)
{
    pid_t id = 0;
    {
        ChildProcess child({ "/bin/sleep", "600" }, outputPath());
        id = child.id();
        BOOST_TEST(kill(id, 0) == 0);
    }
    BOOST_TEST(kill(id, 0) != 0);
}

/// Guards against daemons that stay, perhaps stopped, when a signal ends the test program.
BOOST_AUTO_TEST_CASE(childrenEndWithTheProcessThatStartedThem)
{
    int ends[2];
    BOOST_REQUIRE(pipe(ends) == 0);
    pid_t starter = fork();
    if (starter == 0) {
        ChildProcess child({ "/bin/sleep", "600" }, outputPath());
        child.signal(SIGSTOP);
        pid_t id = child.id();
        bool isWritten = write(ends[1], &id, sizeof(id)) == sizeof(id);
        kill(getpid(), isWritten ? SIGPIPE : SIGKILL);
    }
    pid_t id = 0;
    BOOST_REQUIRE(read(ends[0], &id, sizeof(id)) == static_cast<ssize_t>(sizeof(id)));
    waitpid(starter, nullptr, 0);
    auto deadline = Deadline::after(BootClock::now(), endLimit);
    auto isAlive = [id] {
        std::ifstream state("/proc/" + std::to_string(id) + "/stat");
        std::string number;
        std::string name;
        std::string phase;
        return state >> number >> name >> phase && phase != "Z" && phase != "X";
    };
    while (isAlive() && !deadline.hasPassed(BootClock::now()))
        std::this_thread::sleep_for(Milliseconds(5));
    BOOST_TEST(!isAlive());
}

BOOST_AUTO_TEST_CASE(sitesDoNotSharePorts)
{
    PortBlock first;
    PortBlock second;
    BOOST_TEST(first.port(0) != second.port(0));
}

BOOST_AUTO_TEST_CASE(documentsOfThePlansAreAccepted)
{
    for (const auto& plan : { SitePlan::workshop(), SitePlan::small() }) {
        SiteDocument document(plan, SiteLayout(plan).vmsByService());
        document.withdrawKey("booking-1");
        auto parsed = DocumentParser().parse(document.text());
        BOOST_REQUIRE_MESSAGE(parsed.has_value(), (parsed ? "" : parsed.error().describe("document")));
        BOOST_TEST(parsed.value().keys.size() + 1 == parsed.value().teams.size());
    }
}

BOOST_AUTO_TEST_CASE(settingsOfALargeSiteAreAccepted)
{
    auto plan = SitePlan::workshop();
    plan.daemonZones.assign(21, 1);
    SiteLayout layout(plan);
    for (std::size_t index = 0; index < layout.daemons().size(); ++index) {
        auto parsed = SettingsParser().parse(SiteSettings::text(layout, index, false));
        BOOST_REQUIRE_MESSAGE(parsed.has_value(), (parsed ? "" : parsed.error().describe("settings")));
        BOOST_TEST(parsed.value().mesh.peers.size() == 20U);
    }
}

BOOST_AUTO_TEST_CASE(platformStarts)
{
    auto plan = SitePlan::workshop();
    plan.relayed = true;
    Site site(plan);
    site.startPlatform();
    BOOST_TEST(site.layout().endpoints().size() == 50);
    site.setVmState(site.layout().endpoints()[0].vm, "leaving");
    BOOST_TEST(site.verdict().isClean());
}

BOOST_AUTO_TEST_SUITE_END()
