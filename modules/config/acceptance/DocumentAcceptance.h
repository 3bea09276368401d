#pragma once

#include <config/acceptance/AcceptanceOutcome.h>
#include <config/acceptance/DocumentSubmission.h>
#include <config/model/DocumentRecord.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Greengage {

/// Decides whether a submission can be accepted on top of the current record. It performs no input or output: the
/// caller reads the record, fetches the base text if `baseChange` returns a change id, calls `evaluate`, and
/// writes first the history entry of the new text and then the record, by compare-and-swap. If that write fails because
/// the record has changed, the caller calls `evaluate` again with the newer record.
class DocumentAcceptance {
public:
    /// Maximum number of changes that a record lists; the oldest are dropped.
    static constexpr std::size_t maxChanges = 32;
    /// Minimum number of changes that a record lists, whatever their size.
    static constexpr std::size_t minChanges = 8;
    /// Maximum size of the encoded record in bytes. It is below the store's limit of one megabyte a value.
    static constexpr std::size_t maxRecordBytes = 1'000'000;
    /// Maximum length of a change id and of an author, in bytes.
    static constexpr std::size_t maxIdBytes = 64;

    /// Returns the id of the change whose stored text `evaluate` needs as the base text. Returns nullopt if none is
    /// needed: the base is the current revision, is empty, or is older than the changes listed in the record.
    static std::optional<std::string> baseChange(const DocumentRecord& current, const DocumentSubmission&);

    /// Evaluates a submission. `baseText` is the text of its base revision if `baseChange` returns a change id, and is
    /// ignored otherwise. `nowUnixMilliseconds` becomes the acceptance time of the change.
    static AcceptanceOutcome evaluate(const DocumentRecord& current, std::string_view baseText,
        const DocumentSubmission&, std::int64_t nowUnixMilliseconds);
};

} // namespace Greengage
