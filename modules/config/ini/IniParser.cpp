#include <config/ini/IniParser.h>

#include <config/ini/IniLine.h>
#include <config/json/Utf8.h>

#include <algorithm>
#include <cstring>
#include <ini.h>
#include <utility>

namespace Greengage {

namespace {

bool isUnprintable(char character)
{
    auto byte = static_cast<unsigned char>(character);
    return (byte < ' ' && byte != '\t' && byte != '\r') || byte == 0x7f;
}

} // namespace

IniFile IniParser::parse(std::string_view text)
{
    this->file = {};
    this->rest = text;
    this->lineNumber = 0;
    this->awaitsValue = false;
    this->droppedValue = false;
    ini_parse_stream(&IniParser::readLine, this, &IniParser::handleValue, this);
    this->endLine();
    this->file.errors.sortByLine();
    return std::move(this->file);
}

char* IniParser::readLine(char* buffer, int, void* parser)
{
    auto& self = *static_cast<IniParser*>(parser);
    self.endLine();
    if (self.rest.empty())
        return nullptr;
    auto end = std::min(self.rest.find('\n'), self.rest.size());
    auto line = self.rest.substr(0, end);
    self.rest.remove_prefix(std::min(end + 1, self.rest.size()));
    ++self.lineNumber;
    // A line that inih would cut short or misread is reported here, and inih is given an empty one in its place.
    if (!self.beginLine(line))
        line = "";
    std::memcpy(buffer, line.data(), line.size());
    buffer[line.size()] = '\n';
    buffer[line.size() + 1] = '\0';
    return buffer;
}

bool IniParser::beginLine(std::string_view text)
{
    if (text.size() > IniParser::maxLineBytes) {
        this->report({},
            "the line is longer than " + std::to_string(IniParser::maxLineBytes)
                + " bytes; divide a list over indented lines");
        return false;
    }
    if (std::ranges::any_of(text, isUnprintable)) {
        this->report({}, "the line holds a control character; only printable text and tabs are allowed");
        return false;
    }
    if (!isPlainUtf8(text)) {
        this->report({},
            "the line is not plain UTF-8 text; save the file in UTF-8, without emoji and other characters "
            "beyond U+FFFF");
        return false;
    }
    auto line = classifyIniLine(text);
    if (line.kind == IniLineKind::BadHeader) {
        this->report({}, "a section starts with \"[name]\" at the beginning of its own line");
        return false;
    }
    if (line.kind == IniLineKind::Header) {
        this->file.sections.push_back({ line.header, this->lineNumber, {} });
        this->droppedValue = false;
    }
    this->awaitsValue = line.kind == IniLineKind::Other;
    this->continuesValue = line.indented && !this->file.sections.empty() && !this->file.sections.back().entries.empty();
    return true;
}

void IniParser::endLine()
{
    if (this->awaitsValue)
        this->report({}, "neither a section \"[name]\", nor \"key = value\", nor a comment that starts with ; or #");
    this->awaitsValue = false;
}

int IniParser::handleValue(void* parser, const char*, const char* key, const char* value)
{
    static_cast<IniParser*>(parser)->addValue(key, value);
    return 1;
}

void IniParser::addValue(std::string_view key, std::string_view value)
{
    if (!std::exchange(this->awaitsValue, false))
        return;
    if (this->file.sections.empty()) {
        this->report(key, "the key stands outside every section; put it below a \"[name]\" line");
        return;
    }
    auto& entries = this->file.sections.back().entries;
    if (this->continuesValue) {
        if (!this->droppedValue)
            entries.back().lines.push_back({ std::string(value), this->lineNumber });
        return;
    }
    this->droppedValue = true;
    if (key.empty() || key.size() > IniParser::maxKeyBytes) {
        this->report(key, "a key has 1 to " + std::to_string(IniParser::maxKeyBytes) + " characters");
        return;
    }
    auto earlier = std::ranges::find(entries, key, &IniEntry::key);
    if (earlier != entries.end()) {
        this->report(key, "given twice in this section, first on line " + std::to_string(earlier->line) + "; keep one");
        return;
    }
    this->droppedValue = false;
    entries.push_back({ std::string(key), this->lineNumber, { { std::string(value), this->lineNumber } } });
}

void IniParser::report(std::string_view key, std::string message)
{
    auto section = this->file.sections.empty() ? std::string() : this->file.sections.back().header;
    this->file.errors.list.push_back({ std::move(section), std::string(key), this->lineNumber, std::move(message) });
}

} // namespace Greengage
