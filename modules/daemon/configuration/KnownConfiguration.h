#pragma once

#include <config/model/Document.h>
#include <config/model/DocumentRecord.h>

#include <memory>
#include <optional>

namespace Greengage {

/// The configuration that this daemon has applied, and the newest revision that it knows to be stored.
struct KnownConfiguration {
    /// The newest record that was parsed; nothing before the first.
    std::optional<DocumentRecord> record;
    /// The parsed text of `record`; null before the first.
    std::shared_ptr<const Document> document;
    /// Newest stored revision that this daemon knows of; it may be newer than `record`.
    std::uint64_t newestStored = 0;

    std::uint64_t appliedRevision() const { return this->record ? this->record->revision : 0; }
};

} // namespace Greengage
