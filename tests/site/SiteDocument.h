#pragma once

#include <tests/site/SitePlan.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Greengage {

/// The operators' document of a test site, as it is edited in the course of a test.
class SiteDocument {
public:
    /// `vms` gives the VM ids of each service. Each team gets one key, "<team>-1".
    SiteDocument(const SitePlan&, std::map<std::string, std::vector<std::string>> vms);

    void withdrawKey(const std::string& key) { this->withdrawn.insert(key); }
    void setLimit(const std::string& team, int limit) { this->limits[team] = limit; }
    /// Sections that are put at the document's end, such as waves.
    void append(const std::string& sections) { this->extra += sections; }

    const std::set<std::string>& withdrawnKeys() const { return this->withdrawn; }
    const std::map<std::string, int>& teamLimits() const { return this->limits; }

    std::string text() const;

    /// What a team's callers show.
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
