#pragma once

#include <cstddef>

namespace Greengage {

/// How many descriptors this process may have open.
std::size_t maxOpenDescriptors();

} // namespace Greengage
