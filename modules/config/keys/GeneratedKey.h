#pragma once

#include <config/model/AccessKey.h>

#include <string>

namespace Greengage {

/// A new key: what the document keeps, and what its holder shows. Print `shown` once and never log it.
struct GeneratedKey {
    AccessKey stored;
    /// "<name>.<secret>".
    std::string shown;
};

} // namespace Greengage
