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

/// The value of a key on one line, its words separated by single spaces where it continues.
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
        auto old = valueOf(before, key);
        auto fresh = valueOf(after, key);
        if (old != fresh)
            change.keys.push_back({ key, std::move(old), std::move(fresh) });
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
