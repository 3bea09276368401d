#pragma once

#include <core/errors/Result.h>
#include <mesh/MeshError.h>

#include <cstdint>
#include <json/value.h>

namespace Greengage {

/// The answer to one call: the id of the call, and its result or the peer's error.
struct RpcReply {
    std::int64_t call = 0;
    Result<Json::Value, MeshError> result;
};

} // namespace Greengage
