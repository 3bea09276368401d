#pragma once

#include <config/acceptance/AcceptanceOutcome.h>
#include <config/acceptance/DocumentSubmission.h>
#include <config/model/DocumentRecord.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// Judges submissions against the record in force. It reads and writes nothing: the caller reads the record, fetches
/// the base text where `baseChange` names one, calls `judge`, writes the new text's history and then the record by
/// compare-and-swap, and judges anew against the newer record if that write met a conflict.
class DocumentAcceptance {
public:
    /// How many of the newest changes a record keeps.
    static constexpr std::size_t maxChanges = 32;
    /// How many it keeps at least, whatever their size.
    static constexpr std::size_t minChanges = 8;
    /// Longest encoded record, in bytes; below the megabyte that a value of the store may have.
    static constexpr std::size_t maxRecordBytes = 1'000'000;
    /// Longest change id and author, in bytes.
    static constexpr std::size_t maxIdBytes = 64;

    /// The id of the change whose stored text is the submission's base, where `judge` needs it: the base is neither the
    /// revision in force, nor empty, nor older than the line of changes.
    static std::optional<std::string> baseChange(const DocumentRecord& current, const DocumentSubmission&);

    /// `baseText` is the text of the submission's base revision if `baseChange` names a change; otherwise it is not
    /// looked at. `nowUnixMilliseconds` is written into the history.
    static AcceptanceOutcome judge(const DocumentRecord& current, std::string_view baseText, const DocumentSubmission&,
        std::int64_t nowUnixMilliseconds);
};

} // namespace Greengage
