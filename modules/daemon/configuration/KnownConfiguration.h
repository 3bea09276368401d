#pragma once

#include <config/model/Document.h>
#include <config/model/DocumentRecord.h>

#include <memory>
#include <optional>

namespace Greengage {

/// The configuration that this daemon has applied.
struct KnownConfiguration {
    /// The newest record that has been parsed; nothing before the first.
    std::optional<DocumentRecord> record;
    std::shared_ptr<const Document> document;
    /// Newest revision that is stored, as far as it has been heard; it may be newer than the record.
    std::uint64_t newestStored = 0;

    std::uint64_t appliedRevision() const { return this->record ? this->record->revision : 0; }
};

} // namespace Greengage
