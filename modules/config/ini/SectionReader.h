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

/// Reads the typed values of one section. Each function takes a key and, where the key may be absent, the value that
/// stands for it; without one the key is required. A wrong value is added to the errors with what would be right, and a
/// harmless value is returned, so that reading goes on and all errors are found at once.
class SectionReader {
public:
    /// Longest name of an entity, in characters.
    static constexpr std::size_t maxNameLength = 63;

    SectionReader(const IniSection& section, ConfigErrors& errors)
        : section(section)
        , errors(errors)
    {
    }

    /// Any printable text, on one line.
    std::string text(std::string_view key, std::optional<std::string> fallback = std::nullopt);

    /// A name: lower-case letters, digits, '-' and '_', beginning with a letter or digit.
    std::string name(std::string_view key, std::optional<std::string> fallback = std::nullopt);

    /// A name as an identifier; empty if the key is absent and `required` is false.
    template <typename Id> Id identifier(std::string_view key, bool required = true)
    {
        return Id(this->name(key, required ? std::nullopt : std::optional<std::string>("")));
    }

    /// Names separated by spaces, commas or line breaks; empty if the key is absent.
    std::vector<Located<std::string>> names(std::string_view key);

    /// Ids of VMs, as the platform gives them, separated by spaces, commas or line breaks; empty if the key is absent.
    std::vector<Located<std::string>> vmIds(std::string_view key);

    /// A whole number from `lowest` to `highest`.
    int integer(std::string_view key, int lowest, int highest, std::optional<int> fallback = std::nullopt);

    /// A number above `low` and below `high`.
    double numberBetween(std::string_view key, double low, double high, std::optional<double> fallback = std::nullopt);

    /// "yes" or "no".
    bool yesOrNo(std::string_view key, std::optional<bool> fallback = std::nullopt);

    /// An even number of lower-case hexadecimal digits, from `shortest` to `longest` of them.
    std::string hexDigits(std::string_view key, std::size_t shortest, std::size_t longest);

    /// The number of an IPv4 or IPv6 address.
    std::string ipAddress(std::string_view key, std::optional<std::string> fallback = std::nullopt);

    /// Addresses with ports, "10.0.0.1:7000", separated by spaces, commas or line breaks; empty if the key is absent.
    std::vector<SocketAddress> socketAddresses(std::string_view key);

    /// One of the enumerators' names.
    template <NamedEnum Enum> Enum choice(std::string_view key, std::optional<Enum> fallback = std::nullopt)
    {
        auto value = this->single(key, !fallback);
        if (!value)
            return fallback.value_or(EnumNames<Enum>::table.front().first);
        if (auto chosen = enumFromName<Enum>(value->value))
            return *chosen;
        std::string names;
        for (const auto& [enumerator, name] : EnumNames<Enum>::table)
            names += (names.empty() ? "" : ", ") + std::string(name);
        this->report(key, value->line, this->found(value->value) + "; one of: " + names);
        return EnumNames<Enum>::table.front().first;
    }

    /// Line of the key, or of the section's header if the key is absent.
    int lineOf(std::string_view key) const;

    /// Adds an error about a key of this section.
    void report(std::string_view key, int line, std::string message);

    /// Reports every key that no call has asked for. Call it last.
    void finish();

    /// Whether `text` may name an entity.
    static bool isName(std::string_view text);
    static std::string nameRule();

private:
    const IniEntry* find(std::string_view key);
    std::optional<Located<std::string>> single(std::string_view key, bool required);
    static std::string found(std::string_view value);
    /// The words of a value that may continue over several lines.
    std::vector<Located<std::string>> words(std::string_view key);

    const IniSection& section;
    ConfigErrors& errors;
    std::set<std::string, std::less<>> known;
};

} // namespace Greengage
