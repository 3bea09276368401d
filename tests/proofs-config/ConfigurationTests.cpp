#include <boost/test/unit_test.hpp>
#include <config/config.h>
#include <core/time/Deadline.h>
#include <daemon/configuration/DocumentCache.h>
#include <tests/proofs-config/Operator.h>
#include <tests/proofs-config/RevisionMonitor.h>
#include <tests/proofs-config/StoreCalls.h>
#include <tests/site/Site.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <spdlog/fmt/fmt.h>

using namespace Greengage;

namespace {

/// Required bound for a configuration change to be in force on all daemons.
constexpr Milliseconds inForceBound { 8000 };
constexpr Milliseconds operatorsTimeout { 120000 };
constexpr int operatorCount = 4;

/// A site of seven daemons. Its document has one team for each operator and one team that all operators edit.
struct ConfigurationSite : Site {
    explicit ConfigurationSite(bool relayed = false)
        : Site(makePlan(relayed))
        , monitor(*this)
    {
        this->startPlatform();
        this->startDaemons();
        this->applyDocument();
    }

    static SitePlan makePlan(bool relayed)
    {
        auto plan = SitePlan::workshop();
        plan.relayed = relayed;
        for (int number = 1; number <= operatorCount; ++number)
            plan.limits[fmt::format("op-{}", number)] = 0;
        plan.limits[Operator::sharedTeam] = 0;
        return plan;
    }

    /// Runs all operators concurrently, each starting with a different daemon, until all are done. `meanwhile` is
    /// called before each poll.
    void runOperators(int rounds, const std::function<void()>& meanwhile)
    {
        for (int number = 1; number <= operatorCount; ++number) {
            auto first = static_cast<std::size_t>(number - 1);
            this->operators.push_back(std::make_unique<Operator>(
                *this, number, std::vector<std::size_t> { first, first + 2, (first + 4) % 7 }, rounds));
        }
        auto allDone = [&] {
            meanwhile();
            this->monitor.poll();
            for (auto& one : this->operators) {
                if (auto revision = one->advance())
                    this->monitor.requireEverywhere(revision);
            }
            return std::ranges::all_of(this->operators, [](const auto& one) { return one->isDone(); });
        };
        BOOST_REQUIRE(this->http().waitUntil(allDone, operatorsTimeout));
    }

    /// Waits until all daemons have applied the same revision, and returns its record.
    DocumentRecord waitForSameRevision()
    {
        DocumentRecord record;
        auto allAgree = [&] {
            this->monitor.poll();
            record = this->monitor.recordOf(0);
            for (std::size_t index = 0; index < this->layout().daemons().size(); ++index) {
                if (this->monitor.revisionOf(index) != record.revision)
                    return false;
            }
            return record.revision > 0;
        };
        BOOST_TEST(this->http().waitUntil(allAgree, inForceBound));
        return record;
    }

    /// Checks that every accepted change is in the document, that none was made twice, and that no daemon went back to
    /// an older revision.
    void checkOperators(const DocumentRecord& record)
    {
        auto document = DocumentParser().parse(record.text);
        BOOST_REQUIRE(document.has_value());
        int shared = 0;
        int unknownShared = 0;
        for (const auto& one : this->operators) {
            for (const auto& failure : one->failures)
                BOOST_ERROR(one->author() + ": " + failure);
            BOOST_TEST_MESSAGE(fmt::format(
                "{}: accepted {} own and {} shared, conflicts {}, not accepted {}, unknown {}", one->author(),
                one->accepted.size(), one->acceptedShared, one->conflicts, one->notAccepted, one->unknown));
            this->checkOwnTeam(*one, document.value());
            shared += one->acceptedShared;
            unknownShared += one->unknown;
        }
        auto changesShared = std::ranges::count_if(record.changes, [](const ChangeSummary& change) {
            return change.author != "test" && change.sections == std::vector<std::string> { "team shared" };
        });
        BOOST_TEST(changesShared >= shared);
        BOOST_TEST(changesShared <= shared + unknownShared);
        std::set<std::string> ids;
        for (const auto& change : record.changes)
            BOOST_TEST(ids.insert(change.changeId).second);
        for (const auto& violation : this->monitor.violations())
            BOOST_ERROR(violation);
        BOOST_TEST(this->monitor.answers() > 0);
    }

    void checkOwnTeam(const Operator& one, const Document& document)
    {
        auto team = std::ranges::find(document.teams, TeamId(one.team()), &Team::name);
        BOOST_REQUIRE(team != document.teams.end());
        int lastAccepted = one.accepted.empty() ? 0 : one.accepted.back();
        bool isOutcomeUnknown = std::ranges::find(one.unknownLimits, team->limit) != one.unknownLimits.end();
        BOOST_TEST((team->limit == lastAccepted || (isOutcomeUnknown && team->limit > lastAccepted)),
            one.team() << " has limit " << team->limit << ", last accepted " << lastAccepted);
    }

    std::uint64_t inForceRevision() { return this->monitor.revisionOf(0).value_or(0); }

    /// Writes a copy of the newest document in which a team has a new limit.
    void writeCopy(const std::string& name, const std::string& team, int limit)
    {
        BOOST_REQUIRE(CtlRun::runToEnd(*this, "show.out", { "show" }) == 0);
        std::ifstream shown(this->file("show.out"));
        std::string text(std::istreambuf_iterator<char>(shown), {});
        std::ofstream(this->file(name)) << Operator::withLimit(text, team, limit);
    }

    void setStoreOutage(const std::string& kind)
    {
        Json::Value settings;
        settings["outage"] = kind;
        this->controlStore(settings);
    }

    /// Cuts the last daemon, the only one in its availability zone, from the store and its peers. It still reaches
    /// endpoints and callers.
    void isolateLastDaemon()
    {
        auto rule = [](const char* source, const char* destination, const char* action) {
            Json::Value json;
            json["source"] = source;
            json["destination"] = destination;
            json["action"] = action;
            return json;
        };
        Json::Value settings;
        settings["rules"].append(rule("127.1.4.", "127.2.", "pass"));
        settings["rules"].append(rule("127.1.4.", "", "freeze"));
        settings["rules"].append(rule("", "127.1.4.", "freeze"));
        this->controlRelay(settings);
    }

    /// Submits a request with the booking team's key to the last daemon and returns its outcome.
    std::string submitAtLastDaemon()
    {
        HttpRequest call;
        call.address = this->layout().daemons().back().address;
        call.port = this->layout().callerPort();
        call.path = "/v1/queues/quotes";
        call.body = "work";
        call.headers.push_back({ "Authorization", "Bearer " + SiteDocument::bearer("booking") });
        auto outcome = this->http().send(call);
        return outcome.has_value() ? std::string(outcome.value().header("Greengage-Outcome")) : outcome.error().detail;
    }

    RevisionMonitor monitor;
    std::vector<std::unique_ptr<Operator>> operators;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Configuration)

BOOST_AUTO_TEST_CASE(racingOperatorsLoseNothing)
{
    ConfigurationSite site;
    site.runOperators(6, [] {});
    auto record = site.waitForSameRevision();
    site.checkOperators(record);
    for (const auto& one : site.operators) {
        BOOST_TEST(one->accepted.size() == 3U);
        BOOST_TEST(one->notAccepted + one->unknown == 0);
    }
}

BOOST_AUTO_TEST_CASE(lostStoreAnswersMakeNoChangeTwice)
{
    ConfigurationSite site;
    site.runOperators(6, [&] {
        Json::Value settings;
        settings["loseWriteAnswers"] = 1;
        site.controlStore(settings);
    });
    site.checkOperators(site.waitForSameRevision());
}

/// The daemon that makes a change is killed before it can answer, and another operator edits the same section before
/// the first operator's command reaches a daemon again. The first change must be reported as made, and the second must
/// stay.
BOOST_AUTO_TEST_CASE(changeOfADaemonThatDiedIsRecognised)
{
    constexpr int storeDelayMilliseconds = 600;
    ConfigurationSite site;
    auto before = StoreCalls::read(site);
    Json::Value settings;
    settings["delayMs"] = storeDelayMilliseconds;
    site.controlStore(settings);
    site.writeCopy("first.ini", "op-1", 5);
    CtlRun first(site, "first.out", { 0 }, { "--json", "apply", site.file("first.ini"), "--author", "first" });
    // One write stores the text in the history, the other the document record.
    auto isWritten = [&] { return StoreCalls::read(site).since(before).count("write") == 2; };
    BOOST_REQUIRE(site.http().waitUntil(isWritten, inForceBound));
    site.daemon(0).signal(SIGKILL);
    BOOST_REQUIRE(site.daemon(0).wait(inForceBound).has_value());
    settings["delayMs"] = 0;
    site.controlStore(settings);
    BOOST_REQUIRE(site.http().waitUntil([&] { return site.monitor.revisionOf(1) == 2U; }, inForceBound));
    site.writeCopy("second.ini", "op-1", 7);
    BOOST_TEST(CtlRun::runToEnd(site, "second.out", { "apply", site.file("second.ini"), "--author", "second" }) == 0);
    site.startDaemon(0);
    BOOST_REQUIRE(site.http().waitUntil([&] { return first.exitCode().has_value(); }, operatorsTimeout));
    BOOST_TEST((first.exitCode() == 0));
    auto answer = AdminCodec::decodeAnswer(first.output());
    BOOST_REQUIRE_MESSAGE(answer.has_value(), first.output());
    BOOST_TEST(answer.value().revision == 2U);
    BOOST_TEST(Operator::withLimit(site.waitForSameRevision().text, "op-1", 7) == site.waitForSameRevision().text);
}

BOOST_AUTO_TEST_CASE(storeOutageRevertsNothing)
{
    ConfigurationSite site;
    // Longer than an operator's command and a daemon's own retries take.
    constexpr Milliseconds outageTime { 15000 };
    constexpr int pollsBefore = 20;
    int polls = 0;
    Deadline end = Deadline::never();
    site.runOperators(8, [&] {
        if (++polls == pollsBefore) {
            site.setStoreOutage("silent");
            end = Deadline::after(BootClock::now(), outageTime);
        }
        if (end.hasPassed(BootClock::now())) {
            site.setStoreOutage("none");
            end = Deadline::never();
        }
    });
    BOOST_TEST(polls > pollsBefore);
    site.setStoreOutage("none");
    site.checkOperators(site.waitForSameRevision());
}

BOOST_AUTO_TEST_CASE(daemonStartedInAnOutageTakesTheNewestFromPeers)
{
    ConfigurationSite site;
    site.document().setLimit("booking", 50);
    site.applyDocument();
    auto revision = site.inForceRevision();
    BOOST_TEST(revision == 2U);
    site.monitor.requireEverywhere(revision);
    site.setStoreOutage("refuse");
    site.daemon(5).signal(SIGKILL);
    BOOST_REQUIRE(site.daemon(5).wait(inForceBound).has_value());
    site.startDaemon(5);
    site.monitor.expectRestart(5);
    auto hasNewest = [&] {
        site.monitor.poll();
        return site.monitor.revisionOf(5) == revision;
    };
    BOOST_TEST(site.http().waitUntil(hasNewest, inForceBound));
    BOOST_TEST(site.monitor.recordOf(5).text == site.document().text());
    BOOST_TEST(site.monitor.violations().empty());
}

BOOST_AUTO_TEST_CASE(olderRecordThatComesLateIsNotApplied)
{
    std::vector<std::uint64_t> applied;
    DocumentCache cache([&](std::shared_ptr<const Document> document) { applied.push_back(document->revision); });
    for (std::uint64_t revision : { 2, 1, 2, 4, 3 })
        cache.offer({ revision, {}, "; revision\n" }, "test");
    BOOST_TEST((applied == std::vector<std::uint64_t> { 2, 4 }));
    BOOST_TEST(cache.known().appliedRevision() == 4U);
}

BOOST_AUTO_TEST_CASE(daemonWithoutAnyDocumentServesNothing)
{
    Site site(SitePlan::small());
    site.startPlatform();
    Json::Value settings;
    settings["outage"] = "refuse";
    site.controlStore(settings);
    site.startDaemons();
    BOOST_TEST(!site.answersHealth(0));
    RevisionMonitor monitor(site);
    BOOST_TEST((monitor.revisionOf(0) == std::uint64_t(0)));
    BOOST_TEST(CtlRun::runToEnd(site, "show.out", { "show" }) == 5);
}

BOOST_AUTO_TEST_CASE(withdrawalIsNotCalledInForceWhileAFrozenDaemonMayActOnTheOld)
{
    ConfigurationSite site;
    auto isAnswered = [&] { return site.submitAtLastDaemon() == "answered"; };
    BOOST_REQUIRE(site.http().waitUntil(isAnswered, inForceBound));
    site.daemon(6).signal(SIGSTOP);
    site.document().withdrawKey("booking-1");
    site.applyDocument();
    site.daemon(6).signal(SIGCONT);
    BOOST_TEST(site.submitAtLastDaemon() == "not_run");
}

BOOST_AUTO_TEST_CASE(withdrawalIsNotCalledInForceWhileACutOffDaemonMayActOnTheOld)
{
    ConfigurationSite site(true);
    auto isAnswered = [&] { return site.submitAtLastDaemon() == "answered"; };
    BOOST_REQUIRE(site.http().waitUntil(isAnswered, inForceBound));
    site.isolateLastDaemon();
    BOOST_TEST(isAnswered());
    site.document().withdrawKey("booking-1");
    site.applyDocument();
    BOOST_TEST(site.submitAtLastDaemon() == "not_run");
}

/// The platform handles several hundred writes and about two thousand reads per second from a whole site.
BOOST_AUTO_TEST_CASE(storeCallsStayWithinThePlatformsRates)
{
    constexpr std::uint64_t writesPerSecond = 300;
    constexpr std::uint64_t readsPerSecond = 2000;
    constexpr std::uint64_t idleSeconds = 6;
    constexpr int changes = 5;
    ConfigurationSite site;
    auto before = StoreCalls::read(site);
    auto idleEnd = Deadline::after(BootClock::now(), Seconds(idleSeconds));
    BOOST_REQUIRE(site.http().waitUntil([&] { return idleEnd.hasPassed(BootClock::now()); }, Seconds(2 * idleSeconds)));
    auto whenIdle = StoreCalls::read(site).since(before);
    before = StoreCalls::read(site);
    auto begin = BootClock::now();
    for (int change = 1; change <= changes; ++change) {
        site.document().setLimit("booking", change);
        site.applyDocument();
    }
    auto took = std::chrono::duration_cast<Milliseconds>(BootClock::now() - begin);
    auto inChanges = StoreCalls::read(site).since(before);
    BOOST_TEST_MESSAGE(fmt::format("store calls while idle for {} s: {}", idleSeconds, whenIdle.describe()));
    BOOST_TEST_MESSAGE(
        fmt::format("store calls during {} changes in {} ms: {}", changes, took.count(), inChanges.describe()));
    BOOST_TEST(whenIdle.writes() < writesPerSecond * idleSeconds);
    BOOST_TEST(whenIdle.reads() < readsPerSecond * idleSeconds);
    BOOST_TEST(inChanges.writes() < writesPerSecond);
    BOOST_TEST(inChanges.reads() < readsPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()
