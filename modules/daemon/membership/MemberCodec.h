#pragma once

#include <config/json/CodecError.h>
#include <core/errors/Result.h>
#include <daemon/membership/MemberRecord.h>

#include <string>

namespace Greengage {

/// Encodes member records as the JSON text kept in the store, and decodes them.
class MemberCodec {
public:
    static std::string encode(const MemberRecord&);
    static Result<MemberRecord, CodecError> decode(const std::string& text);
};

} // namespace Greengage
