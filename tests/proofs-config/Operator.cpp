#include <tests/proofs-config/Operator.h>

#include <config/config.h>
#include <tests/site/Site.h>

#include <fstream>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr int doneCode = 0;
constexpr int conflictCode = 4;
constexpr int notAcceptedCode = 5;
constexpr int unknownCode = 6;
constexpr int sharedLimitBase = 1000;

} // namespace

std::string Operator::withLimit(std::string text, const std::string& team, int limit)
{
    auto section = text.find("[team " + team + "]\n");
    auto begin = section == std::string::npos ? section : text.find("limit = ", section);
    if (begin == std::string::npos)
        return text;
    return text.replace(begin, text.find('\n', begin) - begin, "limit = " + std::to_string(limit));
}

Operator::Operator(Site& site, int number, std::vector<std::size_t> daemons, int rounds)
    : site(site)
    , number(number)
    , daemons(std::move(daemons))
    , rounds(rounds)
{
    this->start(Step::Fetching);
}

void Operator::start(Step next)
{
    this->step = next;
    auto copy = fmt::format("operator-{}.ini", this->number);
    if (next == Step::Fetching)
        this->run = std::make_unique<CtlRun>(this->site, copy, this->daemons, std::vector<std::string> { "show" });
    else
        this->run = std::make_unique<CtlRun>(this->site, fmt::format("operator-{}.out", this->number), this->daemons,
            std::vector<std::string> {
                "--json", "--timeout", "8", "apply", this->site.file(copy), "--author", this->author() });
}

std::uint64_t Operator::advance()
{
    if (this->isDone())
        return 0;
    auto code = this->run->exitCode();
    if (!code)
        return 0;
    if (this->step == Step::Applying)
        return this->finishApplying(*code);
    this->finishFetching(*code);
    return 0;
}

void Operator::finishFetching(int code)
{
    if (code != doneCode) {
        this->failures.push_back(fmt::format("show ended with exit code {}: {}", code, this->run->output()));
        ++this->round;
        this->start(Step::Fetching);
        return;
    }
    auto text = this->run->output();
    text = this->editsShared() ? withLimit(text, Operator::sharedTeam, sharedLimitBase * this->number + this->round)
                               : withLimit(text, this->team(), this->round);
    std::ofstream(this->site.file(fmt::format("operator-{}.ini", this->number))) << text;
    this->start(Step::Applying);
}

std::uint64_t Operator::finishApplying(int code)
{
    auto output = this->run->output();
    std::uint64_t revision = 0;
    if (code == doneCode) {
        auto answer = AdminCodec::decodeAnswer(output);
        revision = answer.has_value() ? answer.value().revision : 0;
        if (this->editsShared())
            ++this->acceptedShared;
        else
            this->accepted.push_back(this->round);
    } else if (code == conflictCode && this->editsShared()) {
        ++this->conflicts;
    } else if (code == notAcceptedCode) {
        ++this->notAccepted;
    } else if (code == unknownCode) {
        ++this->unknown;
        if (!this->editsShared())
            this->unknownLimits.push_back(this->round);
    } else {
        this->failures.push_back(fmt::format("apply ended with exit code {}: {}", code, output));
    }
    ++this->round;
    if (!this->isDone())
        this->start(Step::Fetching);
    return revision;
}

} // namespace Greengage
