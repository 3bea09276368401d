#pragma once

#include <cstdio>
#include <string>

namespace Greengage {

class LogLine;

/// A file to which events are appended, each as one line of key=value pairs. Several processes may share one file,
/// since each line is a single write in append mode.
class HistoryFile {
public:
    /// With an empty path, lines are discarded. If the file cannot be opened, the process exits.
    explicit HistoryFile(const std::string& path);
    ~HistoryFile();

    HistoryFile(const HistoryFile&) = delete;
    HistoryFile& operator=(const HistoryFile&) = delete;

    void append(const LogLine&);

    /// The present time as histories record it: microseconds of the boot clock.
    static long long now();

private:
    int descriptor = -1;
};

} // namespace Greengage
