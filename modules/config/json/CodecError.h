#pragma once

#include <string>

namespace Greengage {

/// Why a stored or received value could not be decoded.
struct CodecError {
    std::string message;
};

} // namespace Greengage
