#pragma once

#include <checker/History.h>
#include <core/errors/Result.h>

#include <string>

namespace Greengage {

class KeyValueLine;

/// Reads history files and collects their events.
class HistoryReader {
public:
    /// Adds the events of a file. The error names the file and the line that could not be parsed.
    Result<void, std::string> readFile(const std::string& path);

    const History& history() const { return this->collected; }

private:
    bool addLine(const KeyValueLine&);
    bool addInvoke(const KeyValueLine&, Instant at);
    bool addAnswer(const KeyValueLine&, Instant at);
    bool addChange(OperatorChange, const KeyValueLine&, Instant at);

    History collected;
};

} // namespace Greengage
