#include <core/log/LogLine.h>

#include <algorithm>

namespace Greengage {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char character) {
        return character <= ' ' || character == '"' || character == '=' || character == '\\' || character == 0x7f;
    });
}

void appendEscaped(std::string& line, std::string_view value)
{
    for (unsigned char character : value) {
        if (character == '"' || character == '\\') {
            line.push_back('\\');
            line.push_back(static_cast<char>(character));
        } else if (character < ' ' || character == 0x7f)
            line += fmt::format("\\x{:02x}", character);
        else
            line.push_back(static_cast<char>(character));
    }
}

} // namespace

LogLine::LogLine(std::string_view event) { this->append("event", event); }

void LogLine::append(std::string_view key, std::string_view value)
{
    if (!this->line.empty())
        this->line.push_back(' ');
    this->line += key;
    this->line.push_back('=');
    if (!needsQuotes(value)) {
        this->line += value;
        return;
    }
    this->line.push_back('"');
    appendEscaped(this->line, value);
    this->line.push_back('"');
}

} // namespace Greengage
