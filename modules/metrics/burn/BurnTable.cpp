#include <metrics/burn/BurnTable.h>

namespace Greengage {

void BurnTable::record(Instant now, const ServiceId& service, const TeamId& team, double objectivePercent, bool good)
{
    auto& entry = this->entries[Key { service, team }];
    entry.objectivePercent = objectivePercent;
    for (auto& window : entry.windows)
        window.record(now, good);
}

std::vector<BurnRow> BurnTable::rows(Instant now) const
{
    std::vector<BurnRow> rows;
    for (const auto& [key, entry] : this->entries) {
        BurnRow row { key.service, key.team, entry.objectivePercent, {} };
        for (std::size_t index = 0; index < burnWindowCount; ++index)
            row.windows[index] = entry.windows[index].counts(now);
        if (row.windows.back().total > 0)
            rows.push_back(row);
    }
    return rows;
}

} // namespace Greengage
