#include <tests/proofs-config/RevisionMonitor.h>

#include <config/config.h>
#include <tests/site/Site.h>

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr Milliseconds fetchTimeout { 2000 };

} // namespace

RevisionMonitor::RevisionMonitor(Site& site)
    : site(site)
    , newest(site.layout().daemons().size(), 0)
    , excluded(newest.size(), false)
    , restarted(newest.size(), false)
{
}

std::optional<std::string> RevisionMonitor::fetch(std::size_t index, const std::string& path)
{
    HttpRequest call;
    call.address = this->site.layout().daemons()[index].address;
    call.port = this->site.layout().adminPort();
    call.path = path;
    call.headers.push_back({ "Authorization", "Bearer operator-key" });
    call.timeout = fetchTimeout;
    auto outcome = this->site.http().send(call);
    if (!outcome.has_value() || outcome.value().status != 200)
        return std::nullopt;
    return outcome.value().body;
}

std::optional<std::uint64_t> RevisionMonitor::revisionOf(std::size_t index)
{
    auto body = this->fetch(index, "/v1/status");
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
    auto body = this->fetch(index, "/v1/document");
    auto record = DocumentCodec::decode(body.value_or(""));
    return record.has_value() ? record.value() : DocumentRecord();
}

void RevisionMonitor::recordRevision(
    std::size_t index, std::uint64_t revision, std::uint64_t minimum, const std::string& what)
{
    bool hasNoDocumentYet = this->restarted[index] && revision == 0;
    if (revision < minimum && !hasNoDocumentYet) {
        this->foundViolations.push_back(fmt::format(
            "{} has revision {}, {} {}", this->site.layout().daemons()[index].name, revision, what, minimum));
    }
    if (revision > 0)
        this->restarted[index] = false;
    this->newest[index] = std::max(this->newest[index], revision);
}

void RevisionMonitor::poll()
{
    for (std::size_t index = 0; index < this->newest.size(); ++index) {
        if (this->excluded[index])
            continue;
        if (auto revision = this->revisionOf(index))
            this->recordRevision(index, *revision, this->newest[index], "after it had applied");
    }
}

void RevisionMonitor::requireEverywhere(std::uint64_t revision)
{
    this->inForceRevision = std::max(this->inForceRevision, revision);
    for (std::size_t index = 0; index < this->newest.size(); ++index) {
        if (this->excluded[index])
            continue;
        if (auto has = this->revisionOf(index))
            this->recordRevision(index, *has, revision, "although all daemons were reported to have");
    }
}

void RevisionMonitor::expectRestart(std::size_t index)
{
    this->excluded[index] = false;
    this->restarted[index] = true;
    this->newest[index] = this->inForceRevision;
}

void RevisionMonitor::exclude(std::size_t index) { this->excluded[index] = true; }

} // namespace Greengage
