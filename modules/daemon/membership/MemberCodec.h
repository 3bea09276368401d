#pragma once

#include <config/json/CodecError.h>
#include <core/errors/Result.h>
#include <daemon/membership/MemberRecord.h>

#include <string>

namespace Greengage {

/// Turns member records into the text that the store keeps, and back.
class MemberCodec {
public:
    static std::string encode(const MemberRecord&);
    static Result<MemberRecord, CodecError> decode(const std::string& text);
};

} // namespace Greengage
