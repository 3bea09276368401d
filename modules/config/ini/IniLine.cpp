#include <config/ini/IniLine.h>

namespace Greengage {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

std::string joinWords(std::string_view text)
{
    std::string joined;
    while (!(text = trimWhitespace(text)).empty()) {
        auto end = text.find_first_of(whitespace);
        if (!joined.empty())
            joined += ' ';
        joined += text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end);
    }
    return joined;
}

bool isComment(std::string_view text) { return text.empty() || text.front() == ';' || text.front() == '#'; }

} // namespace

std::string_view trimWhitespace(std::string_view text)
{
    auto begin = text.find_first_not_of(whitespace);
    if (begin == std::string_view::npos)
        return {};
    auto end = text.find_last_not_of(whitespace);
    return text.substr(begin, end - begin + 1);
}

IniLine classifyIniLine(std::string_view text)
{
    IniLine line;
    auto content = trimWhitespace(text);
    line.indented = !text.empty() && (text.front() == ' ' || text.front() == '\t');
    if (isComment(content))
        return line;
    line.kind = IniLineKind::Other;
    if (content.front() != '[')
        return line;
    auto close = content.find(']');
    line.kind = IniLineKind::BadHeader;
    if (line.indented || close == std::string_view::npos || !isComment(trimWhitespace(content.substr(close + 1))))
        return line;
    line.header = joinWords(content.substr(1, close - 1));
    if (!line.header.empty())
        line.kind = IniLineKind::Header;
    return line;
}

} // namespace Greengage
