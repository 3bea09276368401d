#include <boost/test/unit_test.hpp>
#include <config/document/DocumentParser.h>
#include <config/settings/SettingsParser.h>
#include <csignal>
#include <tests/site/Site.h>
#include <tests/site/SiteSettings.h>

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
