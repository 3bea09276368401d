#include <standins/common/KeyValueLine.h>

#include <charconv>

namespace Greengage {

namespace {

constexpr std::size_t hexEscapeLength = 4;

/// Reads the rest of a quoted value. `position` is just after the opening quote on entry and just after the closing one
/// on return.
std::optional<std::string> readQuoted(const std::string& line, std::size_t& position)
{
    std::string value;
    while (position < line.size() && line[position] != '"') {
        if (line[position] != '\\') {
            value.push_back(line[position++]);
            continue;
        }
        if (line.compare(position, 2, "\\x") == 0 && position + hexEscapeLength <= line.size()) {
            int code = 0;
            const char* digits = line.data() + position + 2;
            if (std::from_chars(digits, digits + 2, code, 16).ptr != digits + 2)
                return std::nullopt;
            value.push_back(static_cast<char>(code));
            position += hexEscapeLength;
        } else if (position + 1 < line.size()) {
            value.push_back(line[position + 1]);
            position += 2;
        } else
            return std::nullopt;
    }
    if (position >= line.size())
        return std::nullopt;
    ++position;
    return value;
}

} // namespace

std::optional<KeyValueLine> KeyValueLine::parse(const std::string& line)
{
    KeyValueLine parsed;
    std::size_t position = 0;
    while (position < line.size()) {
        auto equals = line.find('=', position);
        if (equals == std::string::npos || equals == position)
            return std::nullopt;
        auto key = line.substr(position, equals - position);
        position = equals + 1;
        std::optional<std::string> value;
        if (position < line.size() && line[position] == '"')
            value = readQuoted(line, ++position);
        else {
            auto end = std::min(line.find(' ', position), line.size());
            value = line.substr(position, end - position);
            position = end;
        }
        bool separated = position == line.size() || line[position] == ' ';
        if (!value || !separated || !parsed.values.emplace(key, *value).second)
            return std::nullopt;
        ++position;
    }
    return parsed;
}

const std::string& KeyValueLine::text(const std::string& key) const
{
    static const std::string absent;
    auto found = this->values.find(key);
    return found == this->values.end() ? absent : found->second;
}

std::optional<long long> KeyValueLine::number(const std::string& key) const
{
    const auto& text = this->text(key);
    long long value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace Greengage
