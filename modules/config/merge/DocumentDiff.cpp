#include <config/merge/DocumentDiff.h>

#include <config/ini/IniParser.h>
#include <config/merge/SectionMerge.h>

#include <algorithm>

namespace Greengage {

namespace {

const IniSection* findSection(const IniFile& file, std::string_view header)
{
    auto found = std::ranges::find(file.sections, header, &IniSection::header);
    return found == file.sections.end() ? nullptr : &*found;
}

/// Returns the value of a key as one line, its continuation lines joined by single spaces; nullopt if it is absent.
std::optional<std::string> valueOf(const IniSection* section, std::string_view key)
{
    if (section == nullptr)
        return std::nullopt;
    auto found = std::ranges::find(section->entries, key, &IniEntry::key);
    if (found == section->entries.end())
        return std::nullopt;
    std::string value;
    for (const auto& line : found->lines)
        value += (value.empty() ? "" : " ") + line.value;
    return value;
}

void addKeys(const IniSection* section, std::vector<std::string>& keys)
{
    if (section == nullptr)
        return;
    for (const auto& entry : section->entries) {
        if (std::ranges::find(keys, entry.key) == keys.end())
            keys.push_back(entry.key);
    }
}

SectionChange compareSections(const std::string& header, const IniSection* before, const IniSection* after)
{
    SectionChange change;
    change.section = header;
    std::vector<std::string> keys;
    addKeys(after, keys);
    addKeys(before, keys);
    for (const auto& key : keys) {
        auto oldValue = valueOf(before, key);
        auto newValue = valueOf(after, key);
        if (oldValue != newValue)
            change.keys.push_back({ key, std::move(oldValue), std::move(newValue) });
    }
    if (before == nullptr)
        change.kind = SectionChangeKind::Added;
    else if (after == nullptr)
        change.kind = SectionChangeKind::Removed;
    else
        change.kind = change.keys.empty() ? SectionChangeKind::Reworded : SectionChangeKind::Altered;
    return change;
}

} // namespace

std::vector<SectionChange> DocumentDiff::compare(std::string_view before, std::string_view after)
{
    auto beforeFile = IniParser().parse(before);
    auto afterFile = IniParser().parse(after);
    std::vector<SectionChange> changes;
    for (const auto& header : changedSections(before, after))
        changes.push_back(compareSections(header, findSection(beforeFile, header), findSection(afterFile, header)));
    return changes;
}

} // namespace Greengage
