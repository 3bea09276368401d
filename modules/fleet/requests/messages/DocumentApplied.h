#pragma once

#include <memory>

namespace Greengage {

struct Document;

/// A newer document was parsed. The plane ignores it if it is not newer than its current one.
struct DocumentApplied {
    std::shared_ptr<const Document> document;
};

} // namespace Greengage
