#pragma once

#include <cstdio>
#include <string>

namespace Greengage {

class LogLine;

/// A file to which events are appended, one key=value line each. Lines of several processes may share one file: each
/// line is one write.
class HistoryFile {
public:
    /// With an empty path, lines are dropped. A file that cannot be opened ends the process.
    explicit HistoryFile(const std::string& path);
    ~HistoryFile();

    HistoryFile(const HistoryFile&) = delete;
    HistoryFile& operator=(const HistoryFile&) = delete;

    void append(const LogLine&);

    /// The boot clock's microseconds, as histories show instants.
    static long long now();

private:
    int descriptor = -1;
};

} // namespace Greengage
