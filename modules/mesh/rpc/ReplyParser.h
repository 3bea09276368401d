#pragma once

#include <core/errors/Result.h>
#include <mesh/rpc/RpcReply.h>

#include <string>

namespace Greengage {

/// Parses a line with the answer to a batch of one call: {"call","value"} as its result, or an error whose data has
/// "call".
Result<RpcReply, MeshError> parseReply(const std::string& line);

} // namespace Greengage
