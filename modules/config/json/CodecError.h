#pragma once

#include <string>

namespace Greengage {

/// Why a stored or received value is not a document record.
struct CodecError {
    std::string message;
};

} // namespace Greengage
