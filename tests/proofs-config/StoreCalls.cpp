#include <tests/proofs-config/StoreCalls.h>

#include <tests/site/Site.h>

namespace Greengage {

namespace {

bool isWrite(const std::string& kind) { return kind == "write" || kind == "erase" || kind.starts_with("lease/"); }

} // namespace

StoreCalls StoreCalls::read(Site& site)
{
    StoreCalls calls;
    auto json
        = site.http().get(SiteLayout::storeAddress(), site.layout().storeControlPort(), "/control/calls")["calls"];
    for (const auto& kind : json.getMemberNames())
        calls.counts[kind] = json[kind].asUInt64();
    return calls;
}

StoreCalls StoreCalls::since(const StoreCalls& earlier) const
{
    StoreCalls calls = *this;
    for (const auto& [kind, count] : earlier.counts)
        calls.counts[kind] -= count;
    return calls;
}

std::uint64_t StoreCalls::writes() const
{
    std::uint64_t sum = 0;
    for (const auto& [kind, count] : this->counts)
        sum += isWrite(kind) ? count : 0;
    return sum;
}

std::uint64_t StoreCalls::count(const std::string& kind) const
{
    auto found = this->counts.find(kind);
    return found == this->counts.end() ? 0 : found->second;
}

std::uint64_t StoreCalls::reads() const
{
    std::uint64_t sum = 0;
    for (const auto& [kind, count] : this->counts)
        sum += isWrite(kind) ? 0 : count;
    return sum;
}

std::string StoreCalls::describe() const
{
    std::string text;
    for (const auto& [kind, count] : this->counts)
        text += (text.empty() ? "" : " ") + kind + "=" + std::to_string(count);
    return text;
}

} // namespace Greengage
