#pragma once

#include <memory>

namespace Greengage {

struct Document;

/// A newer document has been parsed. The plane ignores one that is not newer than what it has.
struct DocumentApplied {
    std::shared_ptr<const Document> document;
};

} // namespace Greengage
