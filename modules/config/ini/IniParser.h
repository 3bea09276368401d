#pragma once

#include <config/ini/IniFile.h>

#include <string_view>

namespace Greengage {

/// Parses INI text with inih and records the line of each header, key and value. Nothing is dropped silently: lines
/// that are not valid INI, lines and keys longer than inih supports, and unprintable or non-UTF-8 text are reported as
/// errors.
class IniParser {
public:
    /// Maximum length of a line, in bytes.
    static constexpr std::size_t maxLineBytes = 190;
    /// Maximum length of a key, in bytes.
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
    /// Whether inih still has to report a key or value from the current line.
    bool valuePending = false;
    /// Whether the current line continues the value of the last key.
    bool isContinuation = false;
    /// Whether the last key was rejected, so that the lines that continue its value are ignored.
    bool lastKeyRejected = false;
};

} // namespace Greengage
