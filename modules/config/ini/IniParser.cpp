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
    this->valuePending = false;
    this->lastKeyRejected = false;
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
    // A line that inih would truncate or misread has been reported; inih gets an empty line in its place, so that line
    // numbers stay the same.
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
                + " bytes; split a list over several indented lines");
        return false;
    }
    if (std::ranges::any_of(text, isUnprintable)) {
        this->report({}, "the line contains a control character; only printable text and tabs are allowed");
        return false;
    }
    if (!isBmpUtf8(text)) {
        this->report({},
            "the line is not UTF-8 text with characters up to U+FFFF; save the file in UTF-8, without emoji and other "
            "characters beyond U+FFFF");
        return false;
    }
    auto line = classifyIniLine(text);
    if (line.kind == IniLineKind::BadHeader) {
        this->report({}, "a section header must be \"[name]\" at the start of its own line");
        return false;
    }
    if (line.kind == IniLineKind::Header) {
        this->file.sections.push_back({ line.header, this->lineNumber, {} });
        this->lastKeyRejected = false;
    }
    this->valuePending = line.kind == IniLineKind::Other;
    this->isContinuation = line.indented && !this->file.sections.empty() && !this->file.sections.back().entries.empty();
    return true;
}

void IniParser::endLine()
{
    if (this->valuePending)
        this->report({}, "expected a section header \"[name]\", \"key = value\" or a comment that starts with ; or #");
    this->valuePending = false;
}

int IniParser::handleValue(void* parser, const char*, const char* key, const char* value)
{
    static_cast<IniParser*>(parser)->addValue(key, value);
    return 1;
}

void IniParser::addValue(std::string_view key, std::string_view value)
{
    if (!std::exchange(this->valuePending, false))
        return;
    if (this->file.sections.empty()) {
        this->report(key, "the key is not in any section; put it below a \"[name]\" line");
        return;
    }
    auto& entries = this->file.sections.back().entries;
    if (this->isContinuation) {
        if (!this->lastKeyRejected)
            entries.back().lines.push_back({ std::string(value), this->lineNumber });
        return;
    }
    this->lastKeyRejected = true;
    if (key.empty() || key.size() > IniParser::maxKeyBytes) {
        this->report(key, "a key must have 1 to " + std::to_string(IniParser::maxKeyBytes) + " characters");
        return;
    }
    auto earlier = std::ranges::find(entries, key, &IniEntry::key);
    if (earlier != entries.end()) {
        this->report(key, "given twice in this section, first on line " + std::to_string(earlier->line) + "; keep one");
        return;
    }
    this->lastKeyRejected = false;
    entries.push_back({ std::string(key), this->lineNumber, { { std::string(value), this->lineNumber } } });
}

void IniParser::report(std::string_view key, std::string message)
{
    auto section = this->file.sections.empty() ? std::string() : this->file.sections.back().header;
    this->file.errors.list.push_back({ std::move(section), std::string(key), this->lineNumber, std::move(message) });
}

} // namespace Greengage
