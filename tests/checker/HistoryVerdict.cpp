#include <checker/HistoryVerdict.h>

namespace Greengage {

int HistoryVerdict::count(HistoryViolation violation) const
{
    auto found = this->violations.find(violation);
    return found == this->violations.end() ? 0 : found->second;
}

void HistoryVerdict::add(HistoryViolation violation, const std::string& detail)
{
    ++this->violations[violation];
    this->details.push_back("fault=" + std::string(nameOf(violation)) + " " + detail);
}

std::string HistoryVerdict::summary() const
{
    auto text = "answered=" + std::to_string(this->answered) + " not_run=" + std::to_string(this->notRun)
        + " unknown=" + std::to_string(this->unknown) + " broken_attempts=" + std::to_string(this->brokenAttempts);
    for (const auto& [violation, name] : EnumNames<HistoryViolation>::table)
        text += " " + std::string(name) + "=" + std::to_string(this->count(violation));
    return text;
}

} // namespace Greengage
