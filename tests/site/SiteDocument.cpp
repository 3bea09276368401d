#include <tests/site/SiteDocument.h>

#include <core/text/Digest.h>

#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr std::string_view salt = "00112233445566778899aabbccddeeff";

/// Team that owns the queues with open access. Work of these queues counts towards its limit.
constexpr std::string_view openTeam = "visitors";

std::string secretOf(const std::string& key) { return "secret-of-" + key; }

std::string keyOf(const std::string& team) { return team + "-1"; }

} // namespace

SiteDocument::SiteDocument(const SitePlan& plan, std::map<std::string, std::vector<std::string>> vms)
    : plan(plan)
    , vms(std::move(vms))
    , limits(plan.limits)
{
}

std::string SiteDocument::text() const
{
    std::string text = "; The site's document. Each section names its owner.\n";
    for (const auto& service : this->plan.services)
        text += this->serviceText(service);
    for (const auto& [team, limit] : this->limits)
        text += this->teamText(team, limit);
    return text + this->extra;
}

std::string SiteDocument::serviceText(const ServicePlan& service) const
{
    auto text = fmt::format("\n[service {}]\nowner = platform\nmax_unavailable = 2\n", service.service);
    text += fmt::format("\n[pool {0}]\nowner = platform\nservice = {0}\nvms =", service.service);
    for (const auto& vm : this->vms.at(service.service))
        text += " " + vm;
    text += fmt::format("\n\n[queue {}]\nowner = {}\nservice = {}\naccess = {}\nidempotent = {}\n", service.queue,
        service.team.empty() ? openTeam : "platform", service.service, service.team.empty() ? "open" : "keyed",
        service.idempotent ? "yes" : "no");
    return text;
}

std::string SiteDocument::teamText(const std::string& team, int limit) const
{
    auto text = fmt::format("\n[team {0}]\nowner = {0}\nworkspace = {0}\nshare = 1\nlimit = {1}\n", team, limit);
    auto key = keyOf(team);
    if (this->withdrawn.contains(key))
        return text;
    auto digest = sha256Hex(std::string(salt) + secretOf(key));
    return text
        + fmt::format("\n[key {}]\nowner = {}\nteam = {}\nsalt = {}\ndigest = {}\n", key, team, team, salt, digest);
}

std::string SiteDocument::bearer(const std::string& team)
{
    return team.empty() ? "" : keyOf(team) + "." + secretOf(keyOf(team));
}

} // namespace Greengage
