#include <tests/proofs-config/RevisionMonitor.h>

#include <config/config.h>
#include <tests/site/Site.h>

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr Milliseconds askTimeout { 2000 };

} // namespace

RevisionMonitor::RevisionMonitor(Site& site)
    : site(site)
    , newest(site.layout().daemons().size(), 0)
    , leftOut(newest.size(), false)
    , restarted(newest.size(), false)
{
}

std::optional<std::string> RevisionMonitor::ask(std::size_t index, const std::string& path)
{
    HttpCall call;
    call.address = this->site.layout().daemons()[index].address;
    call.port = this->site.layout().adminPort();
    call.path = path;
    call.headers.push_back({ "Authorization", "Bearer operator-key" });
    call.timeout = askTimeout;
    auto outcome = this->site.tool().send(call);
    if (!outcome.has_value() || outcome.value().status != 200)
        return std::nullopt;
    return outcome.value().body;
}

std::optional<std::uint64_t> RevisionMonitor::revisionOf(std::size_t index)
{
    auto body = this->ask(index, "/v1/status");
    if (!body)
        return std::nullopt;
    auto status = StatusCodec::decode(*body);
    if (!status.has_value())
        return std::nullopt;
    ++this->answerCount;
    return status.value().revision;
}

DocumentRecord RevisionMonitor::recordOf(std::size_t index)
{
    auto body = this->ask(index, "/v1/document");
    auto record = DocumentCodec::decode(body.value_or(""));
    return record.has_value() ? record.value() : DocumentRecord();
}

void RevisionMonitor::note(std::size_t index, std::uint64_t revision, std::uint64_t floor, const std::string& what)
{
    bool startsFromNothing = this->restarted[index] && revision == 0;
    if (revision < floor && !startsFromNothing) {
        this->faults.push_back(
            fmt::format("{} has revision {}, {} {}", this->site.layout().daemons()[index].name, revision, what, floor));
    }
    if (revision > 0)
        this->restarted[index] = false;
    this->newest[index] = std::max(this->newest[index], revision);
}

void RevisionMonitor::poll()
{
    for (std::size_t index = 0; index < this->newest.size(); ++index) {
        if (this->leftOut[index])
            continue;
        if (auto revision = this->revisionOf(index))
            this->note(index, *revision, this->newest[index], "after it had");
    }
}

void RevisionMonitor::requireEverywhere(std::uint64_t revision)
{
    this->inForce = std::max(this->inForce, revision);
    for (std::size_t index = 0; index < this->newest.size(); ++index) {
        if (this->leftOut[index])
            continue;
        if (auto has = this->revisionOf(index))
            this->note(index, *has, revision, "but all were said to have");
    }
}

void RevisionMonitor::expectRestart(std::size_t index)
{
    this->leftOut[index] = false;
    this->restarted[index] = true;
    this->newest[index] = this->inForce;
}

void RevisionMonitor::leaveOut(std::size_t index) { this->leftOut[index] = true; }

} // namespace Greengage
