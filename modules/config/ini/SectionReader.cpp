#include <config/ini/SectionReader.h>

#include <config/ini/IniLine.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

bool isIpAddress(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer {};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

bool isLowerHexDigit(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

bool isLetterOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

/// The platform assigns the ids of VMs, so they may contain more characters than names that operators choose.
bool isVmId(std::string_view text)
{
    auto isVmIdCharacter = [](unsigned char character) {
        return std::isalnum(character) != 0 || std::string_view("-_.:").find(static_cast<char>(character)) < 4;
    };
    return text.size() <= SectionReader::maxNameLength && std::ranges::all_of(text, isVmIdCharacter);
}

bool isSeparator(char character) { return character == ' ' || character == '\t' || character == ','; }

} // namespace

std::string SectionReader::text(std::string_view key, std::optional<std::string> fallback)
{
    auto value = this->singleLineValue(key, !fallback);
    if (!value)
        return fallback.value_or("");
    if (value->value.empty() && !fallback)
        this->report(key, value->line, "the value is empty; a value is required");
    return value->value;
}

std::string SectionReader::name(std::string_view key, std::optional<std::string> fallback)
{
    auto value = this->singleLineValue(key, !fallback);
    if (!value)
        return fallback.value_or("");
    if (isName(value->value) || (fallback && value->value.empty()))
        return value->value;
    this->report(key, value->line, quoteInvalid(value->value) + "; " + nameRule());
    return {};
}

std::vector<Located<std::string>> SectionReader::words(std::string_view key)
{
    std::vector<Located<std::string>> words;
    const auto* entry = this->find(key);
    if (entry == nullptr)
        return words;
    for (const auto& line : entry->lines) {
        auto begin = line.value.begin();
        while ((begin = std::find_if_not(begin, line.value.end(), isSeparator)) != line.value.end()) {
            auto end = std::find_if(begin, line.value.end(), isSeparator);
            words.push_back({ std::string(begin, end), line.line });
            begin = end;
        }
    }
    return words;
}

std::vector<Located<std::string>> SectionReader::names(std::string_view key)
{
    std::vector<Located<std::string>> names;
    for (auto& word : this->words(key)) {
        if (isName(word.value))
            names.push_back(std::move(word));
        else
            this->report(key, word.line, quoteInvalid(word.value) + "; " + nameRule());
    }
    return names;
}

std::vector<Located<std::string>> SectionReader::vmIds(std::string_view key)
{
    std::vector<Located<std::string>> ids;
    for (auto& word : this->words(key)) {
        if (isVmId(word.value))
            ids.push_back(std::move(word));
        else
            this->report(
                key, word.line, quoteInvalid(word.value) + "; expected the id of a VM, as the platform lists it");
    }
    return ids;
}

std::vector<SocketAddress> SectionReader::socketAddresses(std::string_view key)
{
    std::vector<SocketAddress> addresses;
    for (const auto& word : this->words(key)) {
        auto colon = word.value.rfind(':');
        auto port = colon == std::string::npos
            ? std::nullopt
            : parseNumber<std::uint16_t>(std::string_view(word.value).substr(colon + 1));
        SocketAddress address { word.value.substr(0, colon), port.value_or(0) };
        if (address.port != 0 && isIpAddress(address.address))
            addresses.push_back(std::move(address));
        else
            this->report(key, word.line,
                quoteInvalid(word.value) + "; expected an IP address with a port, such as 10.0.0.1:7000");
    }
    return addresses;
}

int SectionReader::integer(std::string_view key, int lowest, int highest, std::optional<int> fallback)
{
    auto value = this->singleLineValue(key, !fallback);
    if (!value)
        return fallback.value_or(lowest);
    auto number = parseNumber<int>(value->value);
    if (number && *number >= lowest && *number <= highest)
        return *number;
    this->report(key, value->line,
        fmt::format("{}; expected a whole number from {} to {}", quoteInvalid(value->value), lowest, highest));
    return lowest;
}

double SectionReader::numberBetween(std::string_view key, double low, double high, std::optional<double> fallback)
{
    auto value = this->singleLineValue(key, !fallback);
    auto middle = (low + high) / 2;
    if (!value)
        return fallback.value_or(middle);
    auto number = parseNumber<double>(value->value);
    if (number && std::isfinite(*number) && *number > low && *number < high)
        return *number;
    this->report(key, value->line,
        fmt::format("{}; expected a number above {} and below {}", quoteInvalid(value->value), low, high));
    return middle;
}

bool SectionReader::yesOrNo(std::string_view key, std::optional<bool> fallback)
{
    auto value = this->singleLineValue(key, !fallback);
    if (!value)
        return fallback.value_or(false);
    if (value->value == "yes")
        return true;
    if (value->value != "no")
        this->report(key, value->line, quoteInvalid(value->value) + "; expected yes or no");
    return false;
}

std::string SectionReader::hexDigits(std::string_view key, std::size_t shortest, std::size_t longest)
{
    auto value = this->singleLineValue(key, true);
    if (!value)
        return {};
    auto size = value->value.size();
    if (std::ranges::all_of(value->value, isLowerHexDigit) && size >= shortest && size <= longest && size % 2 == 0)
        return value->value;
    auto count = shortest == longest ? fmt::format("{}", shortest) : fmt::format("{} to {}", shortest, longest);
    this->report(key, value->line,
        fmt::format(
            "the value has {} characters; expected an even number of lower-case hexadecimal digits ({})", size, count));
    return {};
}

std::string SectionReader::ipAddress(std::string_view key, std::optional<std::string> fallback)
{
    auto value = this->singleLineValue(key, !fallback);
    if (!value)
        return fallback.value_or("");
    if (!isIpAddress(value->value))
        this->report(
            key, value->line, quoteInvalid(value->value) + "; expected a numeric IP address, such as 10.0.0.1");
    return value->value;
}

int SectionReader::lineOf(std::string_view key) const
{
    auto entry = std::ranges::find(this->section.entries, key, &IniEntry::key);
    return entry == this->section.entries.end() ? this->section.line : entry->line;
}

void SectionReader::report(std::string_view key, int line, std::string message)
{
    this->errors.list.push_back({ this->section.header, std::string(key), line, std::move(message) });
}

void SectionReader::reportUnknownKeys()
{
    std::string names;
    for (const auto& name : this->requestedKeys)
        names += (names.empty() ? "" : ", ") + name;
    for (const auto& entry : this->section.entries) {
        if (!this->requestedKeys.contains(entry.key))
            this->report(entry.key, entry.line, "unknown key; this section has: " + names);
    }
}

bool SectionReader::isName(std::string_view text)
{
    auto isNameCharacter
        = [](char character) { return isLetterOrDigit(character) || character == '-' || character == '_'; };
    return !text.empty() && text.size() <= SectionReader::maxNameLength && isLetterOrDigit(text.front())
        && std::ranges::all_of(text, isNameCharacter);
}

std::string SectionReader::nameRule()
{
    return fmt::format("a name has 1 to {} lower-case letters, digits, '-' or '_' and starts with a letter or digit",
        SectionReader::maxNameLength);
}

const IniEntry* SectionReader::find(std::string_view key)
{
    this->requestedKeys.emplace(key);
    auto entry = std::ranges::find(this->section.entries, key, &IniEntry::key);
    return entry == this->section.entries.end() ? nullptr : &*entry;
}

std::optional<Located<std::string>> SectionReader::singleLineValue(std::string_view key, bool required)
{
    const auto* entry = this->find(key);
    if (entry == nullptr) {
        if (required)
            this->report(key, this->section.line, "missing; this key is required in this section");
        return std::nullopt;
    }
    if (entry->lines.size() > 1) {
        this->report(key, entry->lines[1].line,
            "an indented line continues the value above it, which must be on one line; start keys at the beginning of "
            "a line");
    }
    return entry->lines.front();
}

std::string SectionReader::quoteInvalid(std::string_view value)
{
    constexpr std::size_t maxQuotedLength = 60;
    if (value.size() > maxQuotedLength)
        return "\"" + std::string(value.substr(0, maxQuotedLength)) + "...\" is not valid";
    return "\"" + std::string(value) + "\" is not valid";
}

} // namespace Greengage
