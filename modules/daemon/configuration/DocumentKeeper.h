#pragma once

#include <daemon/configuration/KnownConfiguration.h>

#include <functional>

namespace Greengage {

/// Keeps the newest document and never goes back to an older one, wherever it comes from.
class DocumentKeeper {
public:
    using Applied = std::function<void(std::shared_ptr<const Document>)>;

    explicit DocumentKeeper(Applied applied);

    /// Takes a record over if it is newer than the one kept and its text is a well-formed document. `source` is for the
    /// log.
    void offer(const DocumentRecord&, const char* source);

    const KnownConfiguration& known() const { return this->configuration; }

private:
    Applied applied;
    KnownConfiguration configuration;
};

} // namespace Greengage
