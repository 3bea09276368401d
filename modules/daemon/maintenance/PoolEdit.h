#pragma once

#include <core/text/Identifier.h>

#include <optional>
#include <string>

namespace Greengage {

/// The text of a document with one VM taken out of one pool's `vms` and put at the end of another's; comments and
/// layout stay. Nothing if the text cannot be edited so that exactly this changes.
std::optional<std::string> moveVmInText(const std::string& text, const VmId&, const PoolId& from, const PoolId& to);

} // namespace Greengage
