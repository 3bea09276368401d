#pragma once

#include <core/errors/Result.h>
#include <fleet/peers/PeerState.h>
#include <mesh/MeshError.h>

namespace Json {
class Value;
}

namespace Greengage {

/// Encodes peer states as JSON and decodes them. Decoding rejects missing and mistyped members, negative numbers, and
/// lists longer than any fleet produces.
class PeerStateCodec {
public:
    static Json::Value toJson(const PeerState&);
    static Result<PeerState, MeshError> fromJson(const Json::Value&);
};

} // namespace Greengage
