#pragma once

#include <config/errors/ConfigErrors.h>
#include <config/ini/IniSection.h>
#include <config/ini/Located.h>
#include <config/settings/SocketAddress.h>
#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// Reads the typed values of one section. A key for which `fallback` is given is optional and has that value if it is
/// absent; without a fallback the key is required. An invalid or missing value adds an error that says what was
/// expected and yields a placeholder value, so that reading continues and all errors are reported together.
class SectionReader {
public:
    /// Maximum length of an entity's name, in characters.
    static constexpr std::size_t maxNameLength = 63;

    SectionReader(const IniSection& section, ConfigErrors& errors)
        : section(section)
        , errors(errors)
    {
    }

    /// Any printable text, on one line.
    std::string text(std::string_view key, std::optional<std::string> fallback = std::nullopt);

    /// A name: lower-case letters, digits, '-' and '_', starting with a letter or digit.
    std::string name(std::string_view key, std::optional<std::string> fallback = std::nullopt);

    /// A name as an identifier; empty if the key is absent and `required` is false.
    template <typename Id> Id identifier(std::string_view key, bool required = true)
    {
        return Id(this->name(key, required ? std::nullopt : std::optional<std::string>("")));
    }

    /// Names separated by spaces, commas or line breaks; empty if the key is absent.
    std::vector<Located<std::string>> names(std::string_view key);

    /// Ids of VMs, as assigned by the platform, separated by spaces, commas or line breaks; empty if the key is absent.
    std::vector<Located<std::string>> vmIds(std::string_view key);

    /// A whole number from `lowest` to `highest`.
    int integer(std::string_view key, int lowest, int highest, std::optional<int> fallback = std::nullopt);

    /// A number above `low` and below `high`, both bounds excluded.
    double numberBetween(std::string_view key, double low, double high, std::optional<double> fallback = std::nullopt);

    /// "yes" or "no".
    bool yesOrNo(std::string_view key, std::optional<bool> fallback = std::nullopt);

    /// An even number of lower-case hexadecimal digits, at least `shortest` and at most `longest`.
    std::string hexDigits(std::string_view key, std::size_t shortest, std::size_t longest);

    /// A numeric IPv4 or IPv6 address.
    std::string ipAddress(std::string_view key, std::optional<std::string> fallback = std::nullopt);

    /// Addresses with ports, such as "10.0.0.1:7000", separated by spaces, commas or line breaks; empty if the key is
    /// absent.
    std::vector<SocketAddress> socketAddresses(std::string_view key);

    /// An enumerator, given by its name.
    template <NamedEnum Enum> Enum choice(std::string_view key, std::optional<Enum> fallback = std::nullopt)
    {
        auto value = this->singleLineValue(key, !fallback);
        if (!value)
            return fallback.value_or(EnumNames<Enum>::table.front().first);
        if (auto chosen = enumFromName<Enum>(value->value))
            return *chosen;
        std::string names;
        for (const auto& [enumerator, name] : EnumNames<Enum>::table)
            names += (names.empty() ? "" : ", ") + std::string(name);
        this->report(key, value->line, this->quoteInvalid(value->value) + "; expected one of: " + names);
        return EnumNames<Enum>::table.front().first;
    }

    /// Returns the line of the key, or of the section's header if the key is absent.
    int lineOf(std::string_view key) const;

    /// Adds an error for a key of this section.
    void report(std::string_view key, int line, std::string message);

    /// Reports as unknown every key of the section that no earlier call has read. Call it last.
    void reportUnknownKeys();

    /// Whether `text` is valid as an entity's name.
    static bool isName(std::string_view text);
    /// Returns a sentence that describes valid names, for error texts.
    static std::string nameRule();

private:
    /// Finds the key's entry, or returns null, and marks the key as known.
    const IniEntry* find(std::string_view key);
    /// Returns the value of a key that must fit on one line. Reports a missing required key and continuation lines.
    std::optional<Located<std::string>> singleLineValue(std::string_view key, bool required);
    /// Quotes an invalid value for an error text, shortened if it is long.
    static std::string quoteInvalid(std::string_view value);
    /// Returns the words of a value that may span several lines.
    std::vector<Located<std::string>> words(std::string_view key);

    const IniSection& section;
    ConfigErrors& errors;
    std::set<std::string, std::less<>> requestedKeys;
};

} // namespace Greengage
