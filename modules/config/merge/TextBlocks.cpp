#include <config/merge/TextBlocks.h>

#include <config/ini/IniLine.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Greengage {

namespace {

enum class LineRole {
    Blank,
    Comment,
    Header,
    Content,
};

struct Line {
    std::string_view text;
    LineRole role = LineRole::Blank;
    std::string header;
};

Line readLine(std::string_view text)
{
    auto line = classifyIniLine(text);
    if (line.kind == IniLineKind::Header)
        return { text, LineRole::Header, line.header };
    if (line.kind != IniLineKind::Blank)
        return { text, LineRole::Content, {} };
    return { text, trimWhitespace(text).empty() ? LineRole::Blank : LineRole::Comment, {} };
}

std::vector<Line> readLines(std::string_view text)
{
    std::vector<Line> lines;
    while (!text.empty()) {
        auto end = std::min(text.find('\n'), text.size());
        lines.push_back(readLine(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::size_t findRole(const std::vector<Line>& lines, std::size_t from, LineRole role)
{
    while (from < lines.size() && lines[from].role != role)
        ++from;
    return from;
}

std::size_t skipComments(const std::vector<Line>& lines, std::size_t from)
{
    while (from < lines.size() && lines[from].role == LineRole::Comment)
        ++from;
    return from;
}

/// Returns one past the last line of the section whose header is at index `header`. The section includes the comments
/// directly below its last key, but not those directly above the next header.
std::size_t findSectionEnd(const std::vector<Line>& lines, std::size_t header)
{
    auto limit = findRole(lines, header + 1, LineRole::Header);
    while (limit > header + 1 && limit < lines.size() && lines[limit - 1].role == LineRole::Comment)
        --limit;
    auto end = header + 1;
    for (auto index = header + 1; index < limit; ++index) {
        if (lines[index].role == LineRole::Content)
            end = index + 1;
    }
    return std::min(skipComments(lines, end), limit);
}

} // namespace

std::vector<TextBlock> splitIntoBlocks(std::string_view text)
{
    auto lines = readLines(text);
    std::vector<TextBlock> blocks;
    std::map<std::string, int> occurrences;
    int blankLines = 0;
    std::size_t index = 0;
    while (index < lines.size()) {
        if (lines[index].role == LineRole::Blank) {
            ++blankLines;
            ++index;
            continue;
        }
        TextBlock block;
        block.blankLinesBefore = std::exchange(blankLines, 0);
        auto end = skipComments(lines, index);
        if (end < lines.size() && lines[end].role == LineRole::Header) {
            block.header = lines[end].header;
            end = findSectionEnd(lines, end);
        } else if (end < lines.size() && lines[end].role == LineRole::Content) {
            ++end;
        }
        for (; index < end; ++index)
            block.text += std::string(lines[index].text) + "\n";
        block.key = block.header.empty() ? "comment " + block.text : "section " + block.header;
        auto occurrence = ++occurrences[block.key];
        if (occurrence > 1)
            block.key += " " + std::to_string(occurrence);
        blocks.push_back(std::move(block));
    }
    return blocks;
}

std::string joinBlocks(const std::vector<TextBlock>& blocks)
{
    std::string text;
    for (const auto& block : blocks) {
        text.append(static_cast<std::size_t>(block.blankLinesBefore), '\n');
        text += block.text;
    }
    return text;
}

const TextBlock* findBlock(const std::vector<TextBlock>& blocks, std::string_view key)
{
    auto found = std::ranges::find(blocks, key, &TextBlock::key);
    return found == blocks.end() ? nullptr : &*found;
}

std::string_view textOrEmpty(const TextBlock* block) { return block == nullptr ? std::string_view() : block->text; }

} // namespace Greengage
