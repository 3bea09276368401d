#pragma once

#include <map>
#include <optional>
#include <string>

namespace Greengage {

/// A line of key=value pairs, as LogLine writes it, taken apart again.
class KeyValueLine {
public:
    /// Nothing if the line does not have that form or names a key twice.
    static std::optional<KeyValueLine> parse(const std::string& line);

    /// The value of a key; empty if it is absent.
    const std::string& text(const std::string& key) const;
    bool has(const std::string& key) const { return this->values.contains(key); }

    /// The value as a whole number, or nothing.
    std::optional<long long> number(const std::string& key) const;

private:
    std::map<std::string, std::string> values;
};

} // namespace Greengage
