#pragma once

#include <map>
#include <optional>
#include <string>

namespace Greengage {

/// The parsed form of a line of key=value pairs as LogLine writes it.
class KeyValueLine {
public:
    /// Returns nothing if the line does not have that form or has a key twice.
    static std::optional<KeyValueLine> parse(const std::string& line);

    /// The value of a key; empty if it is absent.
    const std::string& text(const std::string& key) const;
    bool has(const std::string& key) const { return this->values.contains(key); }

    /// The value as a whole number; nothing if it is absent or not a number.
    std::optional<long long> number(const std::string& key) const;

private:
    std::map<std::string, std::string> values;
};

} // namespace Greengage
