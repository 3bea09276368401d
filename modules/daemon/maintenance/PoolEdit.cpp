#include <daemon/maintenance/PoolEdit.h>

#include <config/document/DocumentParser.h>

#include <algorithm>
#include <sstream>
#include <vector>

namespace Greengage {

namespace {

constexpr const char* whitespace = " \t\r";

struct LineRange {
    std::size_t begin = 0;
    std::size_t end = 0;
};

std::vector<std::string> splitLines(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + "\n";
    return text;
}

bool isHeader(const std::string& line) { return line.find_first_not_of(whitespace) == line.find('['); }

bool isContinuation(const std::string& line)
{
    return !line.empty() && (line[0] == ' ' || line[0] == '\t')
        && line.find_first_not_of(whitespace) != std::string::npos;
}

std::string headerOf(const PoolId& pool) { return "[pool " + pool.string() + "]"; }

/// The line of the pool's `vms` key and its continuation lines; an empty range if the pool has none.
LineRange findVms(const std::vector<std::string>& lines, const PoolId& pool)
{
    auto header = std::find(lines.begin(), lines.end(), headerOf(pool));
    if (header == lines.end())
        return {};
    for (auto line = header + 1; line != lines.end() && !(isHeader(*line) && line->find('[') != std::string::npos);
         ++line) {
        if (!line->starts_with("vms") || line->find('=') == std::string::npos)
            continue;
        auto end = std::find_if_not(line + 1, lines.end(), isContinuation);
        return { static_cast<std::size_t>(line - lines.begin()), static_cast<std::size_t>(end - lines.begin()) };
    }
    return {};
}

/// Removes a word from a line; returns whether the line contained it.
bool removeWord(std::string& line, const std::string& word)
{
    constexpr const char* separators = " \t\r,=";
    for (auto at = line.find(word); at != std::string::npos; at = line.find(word, at + 1)) {
        bool begins = at == 0 || std::string(separators).find(line[at - 1]) != std::string::npos;
        auto after = at + word.size();
        bool ends = after == line.size() || std::string(separators).find(line[after]) != std::string::npos;
        if (!begins || !ends)
            continue;
        auto next = line.find_first_not_of(" \t,", after);
        line.erase(at, (next == std::string::npos ? line.size() : next) - at);
        line.erase(line.find_last_not_of(" \t\r,") + 1);
        return true;
    }
    return false;
}

/// Appends a VM to the pool's `vms`; returns whether the pool was found.
bool appendVm(std::vector<std::string>& lines, const PoolId& pool, const VmId& vm)
{
    LineRange vms = findVms(lines, pool);
    if (vms.begin != vms.end) {
        lines[vms.end - 1] += " " + vm.string();
        return true;
    }
    auto header = std::find(lines.begin(), lines.end(), headerOf(pool));
    if (header == lines.end())
        return false;
    lines.insert(header + 1, "vms = " + vm.string());
    return true;
}

/// Whether two lists hold the same VMs in any order.
bool sameVms(std::vector<VmId> left, std::vector<VmId> right)
{
    std::sort(left.begin(), left.end());
    std::sort(right.begin(), right.end());
    return left == right;
}

/// Whether the pools of the two documents differ only in that `vm` moved from one to the other.
bool isExactMove(const Document& before, const Document& after, const VmId& vm, const PoolId& from, const PoolId& to)
{
    if (before.pools.size() != after.pools.size())
        return false;
    for (std::size_t index = 0; index < before.pools.size(); ++index) {
        Pool expected = before.pools[index];
        if (expected.name == from)
            std::erase(expected.vms, vm);
        if (expected.name == to)
            expected.vms.push_back(vm);
        if (expected.name != after.pools[index].name || !sameVms(expected.vms, after.pools[index].vms))
            return false;
    }
    return true;
}

} // namespace

std::optional<std::string> moveVmInText(const std::string& text, const VmId& vm, const PoolId& from, const PoolId& to)
{
    std::vector<std::string> lines = splitLines(text);
    LineRange source = findVms(lines, from);
    bool removed = false;
    for (std::size_t index = source.begin; index < source.end && !removed; ++index) {
        removed = removeWord(lines[index], vm.string());
        if (removed && index > source.begin && lines[index].find_first_not_of(whitespace) == std::string::npos)
            lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (!removed || !appendVm(lines, to, vm))
        return std::nullopt;
    std::string edited = joinLines(lines);
    auto before = DocumentParser().parse(text);
    auto after = DocumentParser().parse(edited);
    if (!before.has_value() || !after.has_value() || !isExactMove(before.value(), after.value(), vm, from, to))
        return std::nullopt;
    return edited;
}

} // namespace Greengage
