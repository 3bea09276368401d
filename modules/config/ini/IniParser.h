#pragma once

#include <config/ini/IniFile.h>

#include <string_view>

namespace Greengage {

/// Parses INI text with inih and keeps the line of each header, key and value. Nothing is dropped without an error:
/// lines that are not INI, lines and keys longer than inih reads, and bytes that are not printable text are reported.
class IniParser {
public:
    /// Longest line that is read, in bytes.
    static constexpr std::size_t maxLineBytes = 190;
    /// Longest key that is read, in bytes.
    static constexpr std::size_t maxKeyBytes = 48;

    IniFile parse(std::string_view text);

private:
    static char* readLine(char* buffer, int size, void* parser);
    static int handleValue(void* parser, const char* section, const char* key, const char* value);

    bool beginLine(std::string_view text);
    void endLine();
    void addValue(std::string_view key, std::string_view value);
    void report(std::string_view key, std::string message);

    IniFile file;
    std::string_view rest;
    int lineNumber = 0;
    bool awaitsValue = false;
    bool continuesValue = false;
    bool droppedValue = false;
};

} // namespace Greengage
