#include <boost/test/unit_test.hpp>
#include <checker/HistoryChecker.h>
#include <checker/HistoryReader.h>
#include <event2/http.h>
#include <filesystem>
#include <fstream>
#include <standins/caller/CallerProcess.h>
#include <standins/common/HttpReplies.h>
#include <standins/common/HttpService.h>
#include <standins/common/Loop.h>
#include <standins/common/WorkOrder.h>
#include <unistd.h>

using namespace Greengage;

namespace {

/// Callers and a simulated daemon whose answers each test defines.
class CallerFixture {
public:
    CallerFixture()
        : port(static_cast<std::uint16_t>(21000 + getpid() % 400 * 2))
        , path(std::filesystem::temp_directory_path() / ("caller-history-" + std::to_string(getpid())))
        , daemon(this->loop, "127.1.1.1", this->port, [this](evhttp_request* request) { this->handle(request); })
    {
        if (!this->daemon.listen())
            throw std::runtime_error("the simulated daemon cannot listen on 127.1.1.1");
    }

    ~CallerFixture() { std::filesystem::remove(this->path); }

    /// Runs callers with one load for a short while and checks their history.
    HistoryVerdict run(bool idempotent)
    {
        CallerOptions options;
        options.daemons = { { "127.1.1.1", this->port } };
        options.sources = { "127.4.1.1" };
        options.loads = { CallerLoad::parse("queue=quotes team=booking bearer=k1.secret rate=100").value() };
        options.loads[0].idempotent = idempotent;
        options.loads[0].attemptLimit = this->attemptLimit;
        options.loads[0].deadline = this->deadline;
        options.historyPath = this->path.string();
        options.duration = Milliseconds(200);
        CallerProcess process(this->loop, options);
        process.start();
        this->loop.run();
        this->submitted = static_cast<int>(process.submissionCount());
        HistoryReader reader;
        BOOST_REQUIRE(reader.readFile(this->path.string()).has_value());
        return HistoryChecker(reader.history()).check();
    }

    void answer(evhttp_request* request, const std::string& outcome, int status, const std::string& body) const
    {
        auto* fields = evhttp_request_get_output_headers(request);
        evhttp_add_header(fields, "Greengage-Outcome", outcome.c_str());
        HttpReplies::text(request, status, body);
    }

    void handle(evhttp_request* request)
    {
        ++this->attempts;
        this->keys.push_back(HttpReplies::header(request, "Idempotency-Key"));
        this->bearers.push_back(HttpReplies::header(request, "Authorization"));
        this->behave(request);
    }

    Loop loop;
    std::uint16_t port;
    std::filesystem::path path;
    std::function<void(evhttp_request*)> behave;
    std::vector<std::string> keys;
    std::vector<std::string> bearers;
    Milliseconds attemptLimit {};
    Milliseconds deadline { 3000 };
    int attempts = 0;
    int submitted = 0;
    HttpService daemon;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerStandin, CallerFixture)

BOOST_AUTO_TEST_CASE(recordsWholeAnswers)
{
    this->behave = [this](evhttp_request* request) {
        this->answer(request, "answered", 200, WorkOrder::answerFor(HttpReplies::body(request)));
    };
    auto verdict = this->run(true);
    BOOST_TEST(verdict.isClean(), verdict.summary());
    BOOST_TEST(this->submitted > 0);
    BOOST_TEST(verdict.answered == this->submitted);
    BOOST_TEST(this->bearers[0] == "Bearer k1.secret");
    BOOST_TEST(this->keys[0].empty());
}

BOOST_AUTO_TEST_CASE(detectsForeignAndTruncatedAnswers)
{
    this->behave = [this](evhttp_request* request) {
        auto own = WorkOrder::answerFor(HttpReplies::body(request));
        this->answer(request, "answered", 200, this->attempts % 2 == 0 ? own.substr(1) : "another's answer");
    };
    auto verdict = this->run(true);
    BOOST_TEST(verdict.count(HistoryViolation::CorruptAnswer) == this->submitted);
}

BOOST_AUTO_TEST_CASE(retriesAfterARefusal)
{
    this->behave = [this](evhttp_request* request) {
        bool first = HttpReplies::body(request).find(".1 ") != std::string::npos;
        auto body = first ? R"({"retryAfterMs":100})" : WorkOrder::answerFor(HttpReplies::body(request));
        this->answer(request, first ? "not_run" : "answered", first ? 503 : 200, body);
    };
    auto verdict = this->run(true);
    BOOST_TEST(verdict.answered == this->submitted);
    BOOST_TEST(this->attempts == 2 * this->submitted);
}

BOOST_AUTO_TEST_CASE(retriesABrokenSubmissionUnderItsIdempotencyKey)
{
    this->behave = [this](evhttp_request* request) {
        if (HttpReplies::body(request).find(".1 ") != std::string::npos)
            HttpReplies::closeWithoutAnswer(this->loop, request);
        else
            this->answer(request, "not_run", 409, "{}");
    };
    auto verdict = this->run(false);
    BOOST_TEST(verdict.unknown == this->submitted);
    BOOST_TEST(this->attempts == 2 * this->submitted);
    std::map<std::string, int> uses;
    for (const auto& key : this->keys)
        ++uses[key];
    BOOST_TEST(uses.size() == static_cast<std::size_t>(this->submitted));
}

BOOST_AUTO_TEST_CASE(triesAnotherDaemonWhenAnAttemptTakesTooLong)
{
    this->attemptLimit = Milliseconds(100);
    this->behave = [this](evhttp_request* request) {
        if (HttpReplies::body(request).find(".1 ") == std::string::npos)
            this->answer(request, "answered", 200, WorkOrder::answerFor(HttpReplies::body(request)));
    };
    auto verdict = this->run(false);
    BOOST_TEST(verdict.answered == this->submitted);
    BOOST_TEST(verdict.brokenAttempts == this->submitted);
}

BOOST_AUTO_TEST_CASE(losesNoOutcomeThatComesAtTheDeadlineOfItsLastAttempt)
{
    this->attemptLimit = Milliseconds(300);
    this->deadline = Milliseconds(500);
    this->behave = [this](evhttp_request* request) {
        if (HttpReplies::body(request).find(".1 ") != std::string::npos)
            return;
        this->loop.callLater(Milliseconds(400), [this, request] { this->answer(request, "unknown", 504, "{}"); });
    };
    auto verdict = this->run(false);
    BOOST_TEST(verdict.isClean(), verdict.summary());
    BOOST_TEST(verdict.unknown == this->submitted);
    BOOST_TEST(verdict.brokenAttempts == this->submitted);
}

/// An attempt that is waited for is given up in the end, and its submission counts as lost.
BOOST_AUTO_TEST_CASE(countsASubmissionAsLostThatNoDaemonAnswers)
{
    this->attemptLimit = Milliseconds(300);
    this->deadline = Milliseconds(500);
    this->behave = [](evhttp_request*) {};
    auto verdict = this->run(false);
    BOOST_TEST(verdict.count(HistoryViolation::Lost) == this->submitted);
    BOOST_TEST(verdict.brokenAttempts == 2 * this->submitted);
}

BOOST_AUTO_TEST_CASE(refusesLoadsThatItCannotRead)
{
    BOOST_TEST(!CallerLoad::parse("team=booking").has_value());
    BOOST_TEST(!CallerLoad::parse("queue=quotes rate=fast").has_value());
    BOOST_TEST(!CallerLoad::parse("queue=quotes rate=0").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
