#pragma once

#include <core/errors/Result.h>
#include <mesh/rpc/RpcReply.h>

#include <string>

namespace Greengage {

/// Parses the answer line to a batch of one call. Its result is {"call", "value"}; an error carries "call" in its data.
Result<RpcReply, MeshError> parseReply(const std::string& line);

} // namespace Greengage
