#pragma once

#include <tests/site/SitePlan.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Greengage {

/// The operators' document of a test site. A test may edit it while the site is running.
class SiteDocument {
public:
    /// `vms` has the VM ids of each service. Each team gets one key, named "<team>-1".
    SiteDocument(const SitePlan&, std::map<std::string, std::vector<std::string>> vms);

    void withdrawKey(const std::string& key) { this->withdrawn.insert(key); }
    void setLimit(const std::string& team, int limit) { this->limits[team] = limit; }
    /// Appends sections, such as waves, at the end of the document.
    void append(const std::string& sections) { this->extra += sections; }

    const std::set<std::string>& withdrawnKeys() const { return this->withdrawn; }
    const std::map<std::string, int>& teamLimits() const { return this->limits; }

    std::string text() const;

    /// The API key that a team's callers send as bearer token; empty without a team.
    static std::string bearer(const std::string& team);

private:
    std::string serviceText(const ServicePlan&) const;
    std::string teamText(const std::string& team, int limit) const;

    SitePlan plan;
    std::map<std::string, std::vector<std::string>> vms;
    std::map<std::string, int> limits;
    std::set<std::string> withdrawn;
    std::string extra;
};

} // namespace Greengage
