#pragma once

#include <core/text/Identifier.h>

#include <optional>
#include <string>

namespace Greengage {

/// Returns the text of a document with one VM removed from the `vms` of pool `from` and appended to those of pool `to`;
/// comments and layout are preserved. Returns nothing if the text cannot be edited so that only this changes.
std::optional<std::string> moveVmInText(const std::string& text, const VmId&, const PoolId& from, const PoolId& to);

} // namespace Greengage
