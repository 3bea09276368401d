#include <checker/HistoryVerdict.h>

namespace Greengage {

int HistoryVerdict::count(HistoryFault fault) const
{
    auto found = this->faults.find(fault);
    return found == this->faults.end() ? 0 : found->second;
}

void HistoryVerdict::add(HistoryFault fault, const std::string& detail)
{
    ++this->faults[fault];
    this->details.push_back("fault=" + std::string(nameOf(fault)) + " " + detail);
}

std::string HistoryVerdict::summary() const
{
    auto text = "answered=" + std::to_string(this->answered) + " not_run=" + std::to_string(this->notRun)
        + " unknown=" + std::to_string(this->unknown) + " broken_attempts=" + std::to_string(this->brokenAttempts);
    for (const auto& [fault, name] : EnumNames<HistoryFault>::table)
        text += " " + std::string(name) + "=" + std::to_string(this->count(fault));
    return text;
}

} // namespace Greengage
