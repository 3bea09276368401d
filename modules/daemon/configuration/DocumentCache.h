#pragma once

#include <daemon/configuration/KnownConfiguration.h>

#include <functional>

namespace Greengage {

/// Holds the newest valid document. Documents arrive from several sources; one that is not newer is ignored.
class DocumentCache {
public:
    using OnApplied = std::function<void(std::shared_ptr<const Document>)>;

    /// `onApplied` is called with each document that replaces the one held.
    explicit DocumentCache(OnApplied onApplied);

    /// Applies a record if it is newer than the one held and its text is a valid document. `source` is only logged.
    void offer(const DocumentRecord&, const char* source);

    const KnownConfiguration& known() const { return this->configuration; }

private:
    OnApplied onApplied;
    KnownConfiguration configuration;
};

} // namespace Greengage
