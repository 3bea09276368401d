#include <boost/test/unit_test.hpp>
#include <cli/tests/Session.h>
#include <config/config.h>

#include <cstdlib>
#include <string>

using namespace Greengage;

namespace {

const std::string document = "; Teams of the workshop.\n\n[service pricing]\nowner = quotes\n\n"
                             "; The hall.\n[team desk]\nowner = operations\nworkspace = halls\nshare = 2\nlimit = 8\n\n"
                             "[team night]\nowner = batch\nworkspace = batch\nshare = 1\nlimit = 4\n";

/// A session in which the first document is already in force.
struct StartedSession : Session {
    StartedSession()
    {
        this->write("first.ini", document);
        BOOST_REQUIRE(this->run("apply first.ini --base 0") == 0);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Sessions)

BOOST_AUTO_TEST_CASE(firstDay)
{
    Session session;
    session.write("document.ini", document);
    session.run("check document.ini");
    session.run("apply document.ini");
    session.run("apply document.ini --base 0");
    session.run("show");
    session.run("show > mine.ini");
    session.edit("mine.ini", "limit = 8", "; until the season ends\nlimit = 12");
    session.run("diff mine.ini");
    session.run("diff mine.ini --json");
    session.run("apply mine.ini");
    session.run("history");
    session.run("show --revision 1");
    session.run("status");
    session.run("status --endpoints");
    session.run("report burn");
    session.matchGolden("first-day");
}

BOOST_FIXTURE_TEST_CASE(twoOperators, StartedSession)
{
    this->run("show > jana.ini");
    this->run("show > ivo.ini");
    this->edit("jana.ini", "limit = 8", "limit = 9");
    this->edit("ivo.ini", "limit = 4", "limit = 5");
    BOOST_TEST(this->run("apply jana.ini") == 0);
    BOOST_TEST(this->run("diff ivo.ini") == 1);
    BOOST_TEST(this->run("apply ivo.ini --author ivo") == 0);
    this->edit("ivo.ini", "limit = 8", "limit = 10");
    BOOST_TEST(this->run("apply ivo.ini --author ivo") == 4);
    BOOST_TEST(this->run("--json apply ivo.ini --author ivo") == 4);
    this->run("show");
    this->matchGolden("two-operators");
}

BOOST_AUTO_TEST_CASE(faults)
{
    Session session;
    session.write("wrong.ini", "; greengagegap revision 0; on brno-1\n[team desk]\nowner = o\nlimit = many\n[key k]\n");
    session.run("check wrong.ini");
    session.run("--json check wrong.ini");
    session.run("apply wrong.ini");
    session.run("check absent.ini");
    session.run("show --revision 7");
    session.run("apply wrong.ini --base 3");
    session.run("--daemon 127.1.1.1 status");
    session.run("chekc");
    setenv("GREENGAGE_KEY", "wrong-key", 1);
    session.run("show");
    setenv("GREENGAGE_KEY", "", 1);
    session.run("show");
    session.matchGolden("faults");
}

BOOST_FIXTURE_TEST_CASE(keys, StartedSession)
{
    BOOST_TEST(this->run("key grant desk-1 --team desk") == 0);
    auto position = this->lastOutput().find("desk-1.");
    BOOST_REQUIRE(position != std::string::npos);
    auto grantedKey = this->lastOutput().substr(position, this->lastOutput().size() - position - 1);
    KeyVerifier verifier(DocumentParser().parse(this->fleet.record.text).value());
    BOOST_TEST(verifier.verify(grantedKey).has_value());
    BOOST_TEST(this->fleet.record.text.find(grantedKey.substr(7)) == std::string::npos);
    BOOST_TEST(this->run("key grant desk-1 --team desk") == 9);
    BOOST_TEST(this->run("key grant desk-2 --team day") == 9);
    BOOST_TEST(this->run("key grant Desk --team desk") == 2);
    BOOST_TEST(this->run("key grant night-1 --team night --json") == 0);
    BOOST_TEST(this->run("key withdraw desk-1") == 0);
    BOOST_TEST(this->run("key withdraw desk-1") == 9);
    BOOST_TEST(this->fleet.record.text.find("[key desk-1]") == std::string::npos);
    this->run("history");
    this->matchGolden("keys");
}

BOOST_FIXTURE_TEST_CASE(waves, StartedSession)
{
    this->run("wave plan kernel-update");
    this->run("wave plan kernel-update --json");
    BOOST_TEST(this->run("wave start kernel-update") == 0);
    BOOST_TEST(this->run("wave start no-such-wave") == 9);
    this->fleet.loseNextWaveAnswer = true;
    BOOST_TEST(this->run("wave pause kernel-update") == 6);
    BOOST_TEST(this->fleet.waveCommands.size() == 2U);
    this->matchGolden("waves");
}

BOOST_FIXTURE_TEST_CASE(lostAnswersAreRetriedUnderTheSameChangeId, StartedSession)
{
    using enum SubmissionFault;
    this->write("next.ini", document + "\n[service orders]\nowner = stock\n");
    this->fleet.submissionFaults = { AnswerLost, NotAccepted, Unknown, RequestLost };
    BOOST_TEST(this->run("apply next.ini --base 1") == 0);
    BOOST_TEST(this->fleet.submissions == 6);
    BOOST_TEST(this->fleet.record.revision == 2U);
    this->edit("next.ini", "stock", "storehouse");
    this->fleet.submissionFaults = { AnswerLostThenEdited };
    BOOST_TEST(this->run("apply next.ini --base 2") == 0);
    BOOST_TEST(this->lastOutput().find("accepted, revision 3") != std::string::npos);
    BOOST_TEST(this->fleet.record.revision == 4U);
    this->fleet.submissionFaults.assign(100, NotAccepted);
    this->edit("next.ini", "limit = 4", "limit = 5");
    BOOST_TEST(this->run("apply next.ini --base 3 --timeout 1") == 5);
    this->fleet.submissionFaults.assign(100, RequestLost);
    BOOST_TEST(this->run("apply next.ini --base 3 --timeout 1") == 6);
    BOOST_TEST(this->fleet.record.revision == 4U);
}

BOOST_FIXTURE_TEST_CASE(unreachableDaemonFailsOverToTheNext, StartedSession)
{
    this->first.stop();
    BOOST_TEST(this->run("status") == 0);
    this->edit("first.ini", "limit = 4", "limit = 5");
    BOOST_TEST(this->run("apply first.ini --base 1") == 0);
    BOOST_TEST(this->run("report burn") == 0);
    this->second.stop();
    BOOST_TEST(this->run("status") == 5);
    BOOST_TEST(this->run("apply first.ini --base 2") == 5);
    BOOST_TEST(this->run("wave start kernel-update") == 5);
    BOOST_TEST(this->run("report burn") == 5);
    this->matchGolden("unreachable");
}

BOOST_FIXTURE_TEST_CASE(applyWaitsUntilTheChangeIsInForceEverywhere, StartedSession)
{
    this->fleet.staleStatusReports = 3;
    this->edit("first.ini", "limit = 4", "limit = 5");
    BOOST_TEST(this->run("apply first.ini --base 1") == 0);
    BOOST_TEST(this->fleet.staleStatusReports == 0);
    this->fleet.staleStatusReports = 1000;
    this->edit("first.ini", "limit = 5", "limit = 6");
    BOOST_TEST(this->run("apply first.ini --base 2 --timeout 1") == 7);
    this->run("show");
    this->matchGolden("in-force");
}

BOOST_AUTO_TEST_CASE(helpHasExamplesAndExitCodes)
{
    Session session;
    session.run("--help");
    for (const std::string& command :
        { std::string("check"), std::string("diff"), std::string("apply"), std::string("show"), std::string("history"),
            std::string("status"), std::string("key grant"), std::string("key withdraw"), std::string("wave plan"),
            std::string("wave start"), std::string("report burn"), std::string("completion") }) {
        BOOST_TEST(session.run(command + " --help") == 0);
        BOOST_TEST(session.lastOutput().find("Example: ") != std::string::npos, command);
    }
    session.run("completion");
    session.matchGolden("help");
}

BOOST_AUTO_TEST_SUITE_END()
